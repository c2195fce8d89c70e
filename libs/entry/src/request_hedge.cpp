#include <condition_variable>
#include <mutex>

#include "request_service.hpp"

namespace tanagerpaddle {

namespace {

// The tries of one request that run at the same time. Shared with the executor's threads, which
// may end after the request was answered.
class concurrent_tries {
public:
    concurrent_tries(const request_path& path, caller_request request)
        : path_(path), request_(std::move(request)) {}

    void run(target_lease lease) {
        std::uint32_t busy_slots = 0;
        request_result result = send_to_agent(path_, request_, std::move(lease), busy_slots);
        const std::lock_guard lock(mutex_);
        --running_;
        if (!result_ || result_->code != result_code::ok) {
            result_ = std::move(result);
        }
        changed_.notify_all();
    }

    void note_started() {
        const std::lock_guard lock(mutex_);
        ++running_;
    }

    void note_not_started() {
        const std::lock_guard lock(mutex_);
        --running_;
    }

    // True if a try was successful or none is running any more.
    bool wait_until_decided(deadline limit) {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, limit.remaining(path_.time.now()),
                                 [&] { return is_decided(); });
    }

    request_result result() {
        const std::lock_guard lock(mutex_);
        if (result_) {
            return *result_;
        }
        request_result late;
        late.code = result_code::deadline_exceeded_running;
        late.message = "no answer before the deadline";
        return late;
    }

private:
    [[nodiscard]] bool is_decided() const {
        return (result_ && result_->code == result_code::ok) || running_ == 0;
    }

    request_path path_;
    caller_request request_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    std::optional<request_result> result_;
};

}  // namespace

request_result request_service::run_hedged(const routed_service& service,
                                           const caller_request& request, target_lease lease) {
    std::uint32_t busy_slots = 0;
    const auto hedge_at =
        hedges_.hedge_at(path_.time.now(), request.until, request.method.is_idempotent,
                         service.methods.at(request.method.id)->p95);
    if (!hedge_at) {
        return send_to_agent(path_, request, std::move(lease), busy_slots);
    }
    const target_id first = lease.target().id;
    const auto tries = std::make_shared<concurrent_tries>(path_, request);
    const auto start = [&](target_lease next) {
        auto held = std::make_shared<target_lease>(std::move(next));
        tries->note_started();
        const bool is_started = executor_.try_run([tries, held] { tries->run(std::move(*held)); });
        if (!is_started) {
            tries->note_not_started();
        }
        return is_started ? nullptr : held;
    };
    if (const auto held = start(std::move(lease))) {
        return send_to_agent(path_, request, std::move(*held), busy_slots);
    }
    if (!tries->wait_until_decided(deadline(*hedge_at))) {
        acquisition second =
            path_.targets.acquire(request.service, {first}, thread_random(), {.can_probe = false});
        if (second.lease && hedges_.try_hedge()) {
            service.hedges->add();
            (void)start(std::move(*second.lease));
        }
        (void)tries->wait_until_decided(request.until);
    }
    return tries->result();
}

}  // namespace tanagerpaddle

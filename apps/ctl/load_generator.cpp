#include "load_generator.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <thread>

namespace tanagerpaddle::ctl {

namespace {

// The entry answers at the deadline; its answer needs time to arrive.
constexpr milliseconds answer_grace{1'000};
constexpr std::size_t most_reported = 10;
constexpr int status_ok = 200;
constexpr int status_end_of_success = 300;

answer_verdict wrong(std::string reason) {
    return {answer_kind::wrong, {}, std::move(reason)};
}

std::string error_name(const http_response& response) {
    std::string number = response.header(header_name::result);
    if (number.empty()) {
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (!body.is_object() || !body.contains("code")) {
            return "http_" + std::to_string(response.status);
        }
        number = body["code"].dump();
    }
    int code = -1;
    const auto parsed = std::from_chars(number.data(), number.data() + number.size(), code);
    if (parsed.ec != std::errc()) {
        return "unreadable_result";
    }
    return std::string(name(result_code_from_number(code)));
}

std::string standin_answer(const sent_request& sent) {
    std::string text = sent.id + "|" + sent.method + "|";
    text.append(sent.body.rbegin(), sent.body.rend());
    return text;
}

answer_verdict judge_body(const sent_request& sent, const http_response& response,
                          bool checks_standin) {
    const std::string length = response.header(header_name::body_length);
    if (length != std::to_string(response.body.size())) {
        return wrong("length header " + length + ", body of " +
                     std::to_string(response.body.size()) + " bytes");
    }
    const std::string checksum = response.header(header_name::body_checksum);
    const std::string expected = to_hex(hash_bytes(response.body));
    if (checksum != expected) {
        return wrong("checksum header " + checksum + ", body has " + expected);
    }
    if (checks_standin && response.body != standin_answer(sent)) {
        return wrong("the body is not the one of this request");
    }
    return {};
}

// Takes planned requests one after the other, as one of several threads.
class sender {
public:
    sender(const load_options& options, const std::vector<planned_request>& plan, const clock& time,
           load_results& results)
        : options_(options),
          plan_(plan),
          time_(time),
          results_(results),
          connections_(time, options.connections),
          start_(time.now()) {}

    void run() {
        for (std::size_t i = next_.fetch_add(1); i < plan_.size(); i = next_.fetch_add(1)) {
            const planned_request& planned = plan_[i];
            const instant intended = start_ + planned.at;
            if (const auto now = time_.now(); now < intended) {
                std::this_thread::sleep_for(intended - now);
            }
            const sent_request sent{options_.id_prefix + "-" + std::to_string(planned.number),
                                    options_.methods[planned.method].name,
                                    body_of(planned.body_seed, options_.body_bytes)};
            const http_result result = send(sent, planned.number);
            results_.add(sent, judge(sent, result, options_.checks_standin),
                         time_.now() - intended);
        }
    }

private:
    // A refused connection proves that the request was not sent, so another entry may get it.
    http_result send(const sent_request& sent, std::uint64_t number) {
        http_call call;
        call.path = "/v1/requests/" + options_.service + "/" + sent.method;
        call.body = sent.body;
        call.headers = {{header_name::request_id, sent.id},
                        {header_name::timeout_ms, std::to_string(options_.timeout.count())}};
        call.limit = deadline::after(time_.now(), options_.timeout + answer_grace);
        http_result result;
        for (std::size_t i = 0; i < options_.callers.size(); ++i) {
            call.to = options_.callers[(number + i) % options_.callers.size()];
            result = connections_.call(call);
            if (result.failure != http_failure::not_connected) {
                break;
            }
        }
        return result;
    }

    const load_options& options_;
    const std::vector<planned_request>& plan_;
    const clock& time_;
    load_results& results_;
    http_client_pool connections_;
    instant start_;
    std::atomic<std::size_t> next_{0};
};

std::size_t draw_method(const std::vector<weighted_method>& methods, double total,
                        random_source& random) {
    double drawn = random.unit() * total;
    for (std::size_t i = 0; i < methods.size(); ++i) {
        drawn -= methods[i].weight;
        if (drawn < 0) {
            return i;
        }
    }
    return methods.size() - 1;
}

}  // namespace

std::vector<planned_request> plan_load(const load_options& options) {
    random_source random(options.seed);
    double total = 0;
    for (const auto& method : options.methods) {
        total += method.weight;
    }
    std::vector<planned_request> plan;
    double at = 0;
    while (true) {
        at -= std::log(1 - random.unit()) / options.requests_per_second;
        if (at >= options.seconds) {
            return plan;
        }
        planned_request next;
        next.number = plan.size();
        next.at =
            std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(at));
        next.method = draw_method(options.methods, total, random);
        next.body_seed = random.below(std::numeric_limits<std::uint64_t>::max());
        plan.push_back(next);
    }
}

std::string body_of(std::uint64_t seed, std::size_t bytes) {
    constexpr std::uint64_t byte_values = 256;
    random_source random(seed);
    std::string body(bytes, '\0');
    for (char& c : body) {
        c = static_cast<char>(random.below(byte_values));
    }
    return body;
}

answer_verdict judge(const sent_request& sent, const http_result& result, bool checks_standin) {
    if (result.failure == http_failure::not_connected) {
        return {answer_kind::honest_error, "not_connected", {}};
    }
    if (result.failure == http_failure::no_answer) {
        return {answer_kind::honest_error, "no_answer", {}};
    }
    const http_response& response = result.response;
    const std::string id = response.header(header_name::request_id);
    if (!id.empty() && id != sent.id) {
        return wrong("answer of request " + id);
    }
    const std::string code = response.header(header_name::result);
    const bool is_success = response.status >= status_ok && response.status < status_end_of_success;
    if (!is_success) {
        if (code == "0") {
            return wrong("result 0 with HTTP status " + std::to_string(response.status));
        }
        return {answer_kind::honest_error, error_name(response), {}};
    }
    if (code != "0") {
        return wrong("HTTP status " + std::to_string(response.status) + " with result \"" + code +
                     "\"");
    }
    if (id.empty()) {
        return wrong("no request id");
    }
    return judge_body(sent, response, checks_standin);
}

void load_results::add(const sent_request& sent, const answer_verdict& verdict,
                       std::chrono::nanoseconds latency) {
    if (verdict.kind == answer_kind::right) {
        latency_.record(latency);
        ++right_;
        return;
    }
    const std::lock_guard lock(mutex_);
    if (verdict.kind == answer_kind::honest_error) {
        ++errors_;
        ++errors_by_code_[verdict.code];
        return;
    }
    ++wrong_;
    if (first_wrong_.size() < most_reported) {
        first_wrong_.push_back(sent.id + ": " + verdict.reason);
    }
}

nlohmann::json load_results::to_json() const {
    const std::lock_guard lock(mutex_);
    return {{"right", right_.load()},
            {"errors", errors_.load()},
            {"wrong", wrong_.load()},
            {"errors_by_code", errors_by_code_},
            {"first_wrong", first_wrong_},
            {"latency_s",
             {{"p50", latency_.quantile(0.5)},
              {"p90", latency_.quantile(0.9)},
              {"p95", latency_.quantile(0.95)},
              {"p99", latency_.quantile(0.99)},
              {"p999", latency_.quantile(0.999)},
              {"max", latency_.quantile(1)}}}};
}

void run_load(const load_options& options, const std::vector<planned_request>& plan,
              const clock& time, load_results& results) {
    sender all(options, plan, time, results);
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(options.connections, plan.size()); ++i) {
        threads.emplace_back([&all] { all.run(); });
    }
}

}  // namespace tanagerpaddle::ctl

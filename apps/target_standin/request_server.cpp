#include "request_server.hpp"

#include <algorithm>
#include <charconv>
#include <thread>

#include "standin_server.hpp"

namespace tanagerpaddle::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_failed = 500;
constexpr std::size_t max_answer_bytes = 64U << 20U;

std::size_t asked_bytes(const httplib::Request& request) {
    const std::string text = request.get_header_value("X-Answer-Bytes");
    if (text.empty()) {
        return 0;
    }
    std::size_t bytes = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), bytes);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        bytes > max_answer_bytes) {
        throw error(result_code::malformed_request, "X-Answer-Bytes is " + text);
    }
    return bytes;
}

}  // namespace

std::string answer_body(std::string_view id, std::string_view method, std::string_view body,
                        std::size_t bytes) {
    std::string unit;
    unit.append(id).append("|").append(method).append("|");
    unit.append(body.rbegin(), body.rend());
    if (bytes == 0) {
        return unit;
    }
    std::string text;
    text.reserve(bytes + unit.size());
    while (text.size() < bytes) {
        text += unit;
    }
    text.resize(bytes);
    return text;
}

request_server::request_server(const request_server_options& options, const fault_switches& faults,
                               event_record& record, std::function<double()> slowdown)
    : options_(options),
      faults_(faults),
      record_(record),
      slowdown_(std::move(slowdown)),
      random_(options.seed) {}

void request_server::take_slot() {
    std::unique_lock lock(mutex_);
    const std::uint64_t ticket = next_ticket_++;
    freed_.wait(lock, [&] { return ticket < ended_ + options_.slots; });
}

void request_server::release_slot() {
    {
        const std::lock_guard lock(mutex_);
        ++ended_;
    }
    freed_.notify_all();
}

std::uint32_t request_server::busy_slots() const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(next_ticket_ - ended_, options_.slots));
}

std::uint64_t request_server::served() const {
    const std::lock_guard lock(mutex_);
    return ended_;
}

request_server::fate request_server::draw(const target_faults& faults) {
    const double slowdown = slowdown_() * faults.slow_factor;
    const std::lock_guard lock(mutex_);
    fate drawn;
    double time_ms = options_.mean_service_ms * (1 + options_.jitter * (2 * random_.unit() - 1));
    if (random_.chance(options_.tail_probability)) {
        time_ms *= options_.tail_factor;
    }
    drawn.service_time = milliseconds(std::llround(time_ms * slowdown));
    drawn.is_crossed = random_.chance(faults.crossed);
    drawn.is_truncated = random_.chance(faults.truncated);
    drawn.is_late = random_.chance(faults.late);
    return drawn;
}

request_server::answer request_server::cross(const answer& own) {
    const std::lock_guard lock(mutex_);
    return previous_.id.empty() ? own : previous_;
}

void request_server::serve(const std::string& method, const httplib::Request& request,
                           httplib::Response& response) {
    if (faults_.current().is_silent) {
        faults_.wait_while(&target_faults::is_silent);
        drop_connection(response);
        return;
    }
    const std::string id = request.get_header_value("Tanagerpaddle-Request-Id");
    const std::size_t bytes = asked_bytes(request);
    take_slot();
    const target_faults faults = faults_.current();
    const fate drawn = draw(faults);
    record_.write("serve_start", {{"request", id}, {"method", method}});
    std::this_thread::sleep_for(drawn.service_time);
    answer sent{id, answer_body(id, method, request.body, bytes)};
    record_.write("serve_end",
                  {{"request", id}, {"method", method}, {"failed", faults.fail_requests}});
    release_slot();

    const answer own = sent;
    if (drawn.is_crossed) {
        sent = cross(own);
    }
    {
        const std::lock_guard lock(mutex_);
        previous_ = own;
    }
    if (drawn.is_late) {
        std::this_thread::sleep_for(milliseconds(faults.late_ms));
    }
    response.set_header("Tanagerpaddle-Request-Id", sent.id);
    if (drawn.is_truncated) {
        answer_truncated(response, sent.body, sent.body.size() / 2);
        return;
    }
    response.status = faults.fail_requests ? status_failed : status_ok;
    response.set_content(sent.body, "application/octet-stream");
}

}  // namespace tanagerpaddle::standin

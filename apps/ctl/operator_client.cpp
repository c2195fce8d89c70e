#include "operator_client.hpp"

#include <algorithm>
#include <charconv>
#include <thread>

namespace tanagerpaddle::ctl {

namespace {

constexpr std::size_t kept_connections = 4;
// Each entry is tried this often, as a lost answer is resolved by asking again.
constexpr std::size_t rounds = 3;
constexpr milliseconds pause_between_rounds{200};
constexpr milliseconds shortest_try{50};
constexpr int first_error_status = 300;

bool is_printable_in_url(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.' || c == '~';
}

// Another entry may accept the same call, or the same entry may accept it later.
bool is_worth_another_try(result_code code) {
    return code == result_code::not_ready || code == result_code::leaving ||
           code == result_code::too_many_connections || code == result_code::store_outcome_unknown;
}

nlohmann::json parse_body(const std::string& body) {
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json::object() : parsed;
}

operator_error to_error(int status, const std::string& text) {
    nlohmann::json body = parse_body(text);
    if (!body.is_object() || !body.contains("code") || !body["code"].is_number_integer()) {
        return {
            result_code::internal_error,
            "the entry answered with HTTP status " + std::to_string(status) + " and no result code",
            std::move(body)};
    }
    const result_code code = result_code_from_number(body["code"].get<int>());
    const std::string message = body.value("message", std::string());
    return {code, message, std::move(body)};
}

}  // namespace

endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    endpoint parsed;
    if (colon != std::string::npos && colon > 0) {
        parsed.address = text.substr(0, colon);
        if (parsed.address.starts_with('[') && parsed.address.ends_with(']')) {
            parsed.address = parsed.address.substr(1, parsed.address.size() - 2);
        }
        const char* end = text.data() + text.size();
        const auto number = std::from_chars(text.data() + colon + 1, end, parsed.port);
        if (number.ec == std::errc() && number.ptr == end && parsed.port != 0) {
            return parsed;
        }
    }
    throw error(result_code::malformed_request, "not ADDRESS:PORT: " + text);
}

std::string url_escaped(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned low_bits = 15;
    std::string escaped;
    for (const char c : text) {
        if (is_printable_in_url(c)) {
            escaped += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        escaped += '%';
        escaped += digits[byte >> 4U];
        escaped += digits[byte & low_bits];
    }
    return escaped;
}

// What one entry made of a call: an answer, or the reason to try another entry.
struct operator_client::outcome {
    bool is_answered = false;
    bool may_have_run = false;
    nlohmann::json body;
    result_code code = result_code::connection_refused;
    std::string reason;
};

operator_client::operator_client(operator_client_options options, const clock& time)
    : options_(std::move(options)),
      time_(time),
      limit_(deadline::after(time.now(), options_.timeout)),
      connections_(time, kept_connections) {}

std::vector<http_header> operator_client::headers() const {
    std::vector<http_header> all{{"Tanagerpaddle-Operator", options_.operator_name}};
    if (!options_.key.empty()) {
        all.push_back({header_name::authorization, "Bearer " + options_.key});
    }
    return all;
}

nlohmann::json operator_client::get(const std::string& path) {
    http_call wanted;
    wanted.method = "GET";
    wanted.path = path;
    return call(wanted);
}

nlohmann::json operator_client::change(const std::string& method, const std::string& path,
                                       const std::string& body) {
    http_call wanted;
    wanted.method = method;
    wanted.path = path;
    wanted.body = body;
    return call(wanted);
}

operator_client::outcome operator_client::try_once(http_call wanted, const endpoint& to,
                                                   deadline limit) {
    wanted.to = to;
    wanted.limit = limit;
    wanted.headers = headers();
    const http_result result = connections_.call(wanted);
    outcome seen;
    if (result.failure != http_failure::none) {
        seen.may_have_run = result.failure == http_failure::no_answer;
        seen.reason = to_string(to) + ": " + result.message;
        return seen;
    }
    if (result.response.status >= first_error_status) {
        const operator_error failure = to_error(result.response.status, result.response.body);
        if (!is_worth_another_try(failure.code())) {
            throw operator_error(failure);
        }
        seen.may_have_run = failure.code() == result_code::store_outcome_unknown;
        seen.code = failure.code();
        seen.reason = to_string(to) + ": " + failure.what();
        return seen;
    }
    seen.is_answered = true;
    seen.body = parse_body(result.response.body);
    return seen;
}

nlohmann::json operator_client::call(const http_call& wanted) {
    bool may_have_run = false;
    outcome last;
    for (std::size_t round = 0; round < rounds; ++round) {
        if (round > 0) {
            std::this_thread::sleep_for(
                std::min(pause_between_rounds, limit_.remaining(time_.now())));
        }
        for (const endpoint& to : options_.entries) {
            // A frozen entry takes half of the time that is left, so that others get a turn.
            const milliseconds left = limit_.remaining(time_.now());
            if (left <= milliseconds(0)) {
                break;
            }
            const milliseconds share = std::min(left, std::max(shortest_try, left / 2));
            last = try_once(wanted, to, deadline::after(time_.now(), share));
            if (last.is_answered) {
                return last.body;
            }
            may_have_run = may_have_run || last.may_have_run;
        }
    }
    const bool is_change = wanted.method != "GET";
    if (is_change && may_have_run) {
        throw error(result_code::outcome_unknown,
                    "no entry said whether it accepted the change; the last one: " + last.reason);
    }
    throw error(last.code, "no entry answered; the last one: " + last.reason);
}

}  // namespace tanagerpaddle::ctl

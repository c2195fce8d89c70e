#pragma once

// Calls of the operators' HTTP interface of the entries.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle::ctl {

struct operator_client_options {
    // Tried in this order.
    std::vector<endpoint> entries;
    std::string operator_name;
    // Empty: no key is sent.
    std::string key;
    // For each command as a whole.
    milliseconds timeout{10'000};
};

// "127.0.0.1:7301", also with "[::1]:7301". Throws error(malformed_request).
[[nodiscard]] endpoint parse_endpoint(const std::string& text);

// Escapes what may not stand in a path segment or a query.
[[nodiscard]] std::string url_escaped(std::string_view text);

// An error answer of an entry together with its body.
class operator_error : public error {
public:
    operator_error(result_code code, const std::string& message, nlohmann::json body)
        : error(code, message), body_(std::move(body)) {}
    [[nodiscard]] const nlohmann::json& body() const noexcept { return body_; }

private:
    nlohmann::json body_;
};

// Each call goes to the first entry that answers. An entry that cannot be reached, does not
// answer, or says that it is not ready or leaving is followed by the next one. Throws
// operator_error for an error answer, error(connection_refused) if no entry can have taken the
// call, and error(outcome_unknown) if one may have taken a change.
class operator_client {
public:
    operator_client(operator_client_options options, const clock& time);

    [[nodiscard]] nlohmann::json get(const std::string& path);
    // A change that entries recognise when it is repeated: by its operation id, or because a job
    // exists or is cancelled already. It is sent again after a lost answer.
    [[nodiscard]] nlohmann::json change(const std::string& method, const std::string& path,
                                        const std::string& body);

private:
    struct outcome;

    [[nodiscard]] nlohmann::json call(const http_call& wanted);
    [[nodiscard]] outcome try_once(http_call wanted, const endpoint& to, deadline limit);
    [[nodiscard]] std::vector<http_header> headers() const;

    operator_client_options options_;
    const clock& time_;
    deadline limit_;
    http_client_pool connections_;
};

}  // namespace tanagerpaddle::ctl

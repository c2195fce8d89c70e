#include <nlohmann/json.hpp>

#include "platform_connections.hpp"

namespace tanagerpaddle {

namespace {

using nlohmann::json;

constexpr std::string_view service_name = "table service";
constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

constexpr std::string_view hex_digits = "0123456789abcdef";

// JSON strings are UTF-8, so messages with a value that is not carry all values as hexadecimal
// digits and say so in "encoding".
std::string to_hex_digits(std::string_view bytes) {
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text.push_back(hex_digits[byte >> 4U]);
        text.push_back(hex_digits[byte & 15U]);
    }
    return text;
}

std::string from_hex_digits(const std::string& text) {
    if (text.size() % 2 != 0 || text.find_first_not_of(hex_digits) != std::string::npos) {
        throw error(result_code::store_unavailable, "table service sent a malformed value");
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        bytes.push_back(
            static_cast<char>(hex_digits.find(text[i]) * 16 + hex_digits.find(text[i + 1])));
    }
    return bytes;
}

std::string encode_transaction(const table_transaction& transaction, bool is_hex) {
    json conditions = json::array();
    for (const auto& condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"expected", condition.expected.value()}});
    }
    json puts = json::array();
    for (const auto& put : transaction.puts) {
        puts.push_back(
            {{"key", put.key}, {"value", is_hex ? to_hex_digits(put.value) : put.value}});
    }
    json message{{"conditions", std::move(conditions)},
                 {"puts", std::move(puts)},
                 {"deletes", transaction.deletes}};
    if (is_hex) {
        message["encoding"] = "hex";
    }
    return message.dump();
}

std::string encode_transaction(const table_transaction& transaction) {
    try {
        return encode_transaction(transaction, false);
    } catch (const json::type_error&) {
        return encode_transaction(transaction, true);
    }
}

table_row decode_row(const json& row, bool is_hex) {
    auto value = row.at("value").get<std::string>();
    return {row.at("key").get<std::string>(), is_hex ? from_hex_digits(value) : std::move(value),
            row_version(integer_of<std::uint64_t>(row.at("version")))};
}

bool is_refused(const call_result& result) {
    return result.outcome == call_outcome::not_sent ||
           (result.outcome == call_outcome::answered &&
            (result.status == status_too_many || result.status == status_unavailable));
}

json call_for_read(platform_connections& clients, const std::string& path, const json& message) {
    platform_call request;
    request.path = path;
    request.body = message.dump();
    request.is_repeatable = true;
    const call_result result = clients.call(request);
    if (result.outcome != call_outcome::answered || result.status != status_ok) {
        throw error(result_code::store_unavailable, describe(service_name, clients, result));
    }
    try {
        return json::parse(result.body);
    } catch (const json::exception& failure) {
        throw error(result_code::store_unavailable,
                    "unreadable answer of the table service: " + std::string(failure.what()));
    }
}

bool is_hex_message(const json& message) {
    return message.value("encoding", "") == "hex";
}

}  // namespace

http_table::http_table(const platform_client_options& options)
    : clients_(std::make_unique<platform_connections>(options)) {}

http_table::~http_table() = default;

std::optional<table_row> http_table::read(const std::string& key) {
    const json answer = call_for_read(*clients_, "/table/read", {{"key", key}});
    try {
        const json& row = answer.at("row");
        if (row.is_null()) {
            return std::nullopt;
        }
        return decode_row(row, is_hex_message(answer));
    } catch (const json::exception& failure) {
        throw error(result_code::store_unavailable, failure.what());
    } catch (const error& failure) {
        throw error(result_code::store_unavailable, failure.what());
    }
}

std::vector<table_row> http_table::scan(const std::string& prefix, const std::string& after,
                                        std::size_t limit) {
    const json answer = call_for_read(*clients_, "/table/scan",
                                      {{"prefix", prefix}, {"after", after}, {"limit", limit}});
    try {
        std::vector<table_row> rows;
        const bool is_hex = is_hex_message(answer);
        for (const auto& row : answer.at("rows")) {
            rows.push_back(decode_row(row, is_hex));
        }
        return rows;
    } catch (const json::exception& failure) {
        throw error(result_code::store_unavailable, failure.what());
    } catch (const error& failure) {
        throw error(result_code::store_unavailable, failure.what());
    }
}

commit_result http_table::commit(const table_transaction& transaction) {
    platform_call request;
    request.path = "/table/commit";
    request.body = encode_transaction(transaction);
    const call_result result = clients_->call(request);
    if (is_refused(result)) {
        throw error(result_code::store_unavailable, describe(service_name, *clients_, result));
    }
    if (result.outcome != call_outcome::answered || result.status != status_ok) {
        throw error(result_code::store_outcome_unknown, describe(service_name, *clients_, result));
    }
    try {
        const json answer = json::parse(result.body);
        commit_result decoded;
        answer.at("committed").get_to(decoded.committed);
        decoded.version = row_version(integer_of<std::uint64_t>(answer.at("version")));
        answer.at("conflicts").get_to(decoded.conflicts);
        return decoded;
    } catch (const json::exception& failure) {
        throw error(result_code::store_outcome_unknown, failure.what());
    } catch (const error& failure) {
        throw error(result_code::store_outcome_unknown, failure.what());
    }
}

}  // namespace tanagerpaddle

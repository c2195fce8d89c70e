#include <algorithm>
#include <array>

#include "standin.hpp"

namespace standin {

namespace {

// An answer of the table service, and a transaction.
constexpr std::int64_t answer_ms = 4;
constexpr std::int64_t transaction_ms = 5;
constexpr std::size_t max_rows = 500;
constexpr std::size_t max_entries = 100;
constexpr std::size_t max_bytes = 1'000'000;
constexpr std::size_t max_row_bytes = 65'536;
constexpr std::int64_t max_wait_ms = 30'000;

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits =
                (bits << 8U) | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k <= text.size() ? alphabet[(bits >> (18 - 6 * k)) & 63U] : '=';
        }
    }
    return out;
}

std::string decode_base64(const std::string& text) {
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const auto value = alphabet.find(c);
        if (value == std::string_view::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
        }
    }
    return out;
}

std::string text_of(const std::map<std::string, std::string>& query, const char* key) {
    const auto found = query.find(key);
    return found == query.end() ? "" : found->second;
}

}  // namespace

store::store(address at) : at_(std::move(at)) {
    server_ = std::make_unique<http_server>(at_, [this](const request& in) { return serve(in); });
}

void store::change(const row_key& key, const std::string* value) {
    if (value == nullptr) {
        rows_.erase(key);
    } else {
        rows_[key] = {*value, version_};
    }
    history_.emplace_back(version_, key);
    changed_.notify_all();
}

void store::put(const std::string& table, const std::string& part, const std::string& key,
                const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++version_;
    const auto encoded = encode_base64(value);
    change({table, part, key}, &encoded);
}

std::optional<std::string> store::value_of(const std::string& table, const std::string& part,
                                           const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, part, key});
    return found == rows_.end() ? std::nullopt : std::optional(decode_base64(found->second.value));
}

json store::encode(const row_key& key, const row* found) const {
    json out{{"table", key[0]}, {"part", key[1]}, {"key", key[2]}};
    if (found == nullptr) {
        out["removed"] = true;
    } else {
        out["value"] = found->value;
        out["schemaVersion"] = found->version;
    }
    return out;
}

response store::serve(const request& in) {
    if (in.path == "/rows-tx") {
        sleep_ms(transaction_ms);
        return transact(in);
    }
    sleep_ms(answer_ms);
    if (in.path == "/rows-get") {
        return read(in);
    }
    return in.path == "/rows-feed" ? feed(in) : response{404, "{}"};
}

response store::transact(const request& in) {
    const auto body = json::parse(in.body);
    const auto key_of = [](const json& entry) {
        return row_key{entry.at("table"), entry.value("part", ""), entry.at("key")};
    };
    const auto count =
        body.at("expected").size() + body.at("puts").size() + body.at("remove").size();
    const bool has_large_row =
        std::any_of(body.at("puts").begin(), body.at("puts").end(), [](const json& put) {
            return put.at("value").get_ref<const std::string&>().size() > max_row_bytes;
        });
    if (count > max_entries || in.body.size() > max_bytes || has_large_row) {
        return {400, "{}"};
    }
    const std::lock_guard lock(mutex_);
    json current = json::array();
    bool holds = true;
    for (const auto& condition : body.at("expected")) {
        const auto key = key_of(condition);
        const auto found = rows_.find(key);
        const auto version = found == rows_.end() ? 0 : found->second.version;
        holds = holds && version == condition.at("schemaVersion").get<std::uint64_t>();
        if (found != rows_.end()) {
            current.push_back(encode(key, &found->second));
        }
    }
    if (!holds) {
        return {412,
                json{{"rows", current}, {"schemaVersion", version_}, {"nowMs", now_ms()}}.dump()};
    }
    ++version_;
    for (const auto& put : body.at("puts")) {
        const auto value = put.at("value").get<std::string>();
        change(key_of(put), &value);
    }
    for (const auto& removal : body.at("remove")) {
        const auto key = key_of(removal);
        if (rows_.count(key) != 0) {
            change(key, nullptr);
        }
    }
    return {200, json{{"schemaVersion", version_}, {"nowMs", now_ms()}}.dump()};
}

response store::read(const request& in) {
    const std::lock_guard lock(mutex_);
    const auto table = text_of(in.query, "table");
    const auto part = text_of(in.query, "part");
    const auto to = text_of(in.query, "target");
    json rows = json::array();
    std::size_t bytes = 0;
    bool has_more = false;
    for (auto at = rows_.lower_bound({table, part, text_of(in.query, "from")});
         at != rows_.end() && at->first[0] == table && at->first[1] == part; ++at) {
        if (!to.empty() && at->first[2] >= to) {
            break;
        }
        bytes += at->second.value.size();
        if (rows.size() == max_rows || bytes > max_bytes) {
            has_more = true;
            break;
        }
        rows.push_back(encode(at->first, &at->second));
    }
    return {200, json{{"rows", rows},
                      {"morePages", has_more},
                      {"schemaVersion", version_},
                      {"nowMs", now_ms()}}
                     .dump()};
}

response store::feed(const request& in) {
    const auto table = text_of(in.query, "table");
    const auto after = std::stoull(text_of(in.query, "after"));
    const auto wait = std::min<std::int64_t>(std::stoll(text_of(in.query, "waitMs")), max_wait_ms);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    std::unique_lock lock(mutex_);
    json rows = json::array();
    for (;;) {
        auto at = std::upper_bound(
            history_.begin(), history_.end(), after,
            [](std::uint64_t version, const auto& change) { return version < change.first; });
        std::vector<row_key> keys;
        for (; at != history_.end(); ++at) {
            if (at->second[0] == table) {
                keys.erase(std::remove(keys.begin(), keys.end(), at->second), keys.end());
                keys.push_back(at->second);
            }
        }
        for (const auto& key : keys) {
            const auto found = rows_.find(key);
            rows.push_back(encode(key, found == rows_.end() ? nullptr : &found->second));
        }
        if (!rows.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    return {200, json{{"rows", rows}, {"schemaVersion", version_}, {"nowMs", now_ms()}}.dump()};
}

}  // namespace standin

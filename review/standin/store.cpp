#include "store.hpp"

#include <chrono>
#include <cstdlib>

#include "record.hpp"

namespace review {

namespace {

constexpr std::int64_t transaction_ms = 5;
constexpr std::size_t max_rows = 500;

std::string decode_query_value(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(
                static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

std::map<std::string, std::string> decode_query(const std::string& target) {
    std::map<std::string, std::string> query;
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        const auto end = target.find('&', begin + 1);
        const auto pair = target.substr(begin + 1, end - begin - 1);
        const auto equals = pair.find('=');
        if (equals != std::string::npos) {
            query[pair.substr(0, equals)] = decode_query_value(pair.substr(equals + 1));
        }
        begin = end;
    }
    return query;
}

std::string encode_base64(const std::string& text) {
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits =
                (bits << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out.push_back(i + j <= text.size() ? digits[(bits >> (18 - 6 * j)) & 63U] : '=');
        }
    }
    return out;
}

}  // namespace

store::store(std::uint16_t port)
    : server_(port, [this](const http_request& request) { return answer(request); }) {}

store::~store() {
    const std::lock_guard lock(mutex_);
    is_closing_ = true;
    changed_.notify_all();
}

void store::put_operator_row(const std::string& key, const json& value) {
    const std::lock_guard lock(mutex_);
    const address where{"op", "", key};
    rows_[where] = {encode_base64(value.dump()), ++version_};
    history_.push_back({where, rows_[where], false});
    changed_.notify_all();
}

store::json store::encode(const address& where, const row& found) {
    return {{"table", std::get<0>(where)},
            {"part", std::get<1>(where)},
            {"key", std::get<2>(where)},
            {"value", found.value},
            {"schemaVersion", found.version}};
}

store::json store::finish(json body) const {
    body["schemaVersion"] = version_;
    body["nowMs"] = now_ms();
    return body;
}

http_response store::answer(const http_request& request) {
    const auto path = request.target.substr(0, request.target.find('?'));
    if (request.method == "POST" && path == "/rows-tx") {
        sleep_ms(transaction_ms);
        return transact(json::parse(request.body));
    }
    if (request.method == "GET" && path == "/rows-get") {
        return read(decode_query(request.target));
    }
    if (request.method == "GET" && path == "/rows-feed") {
        return feed(decode_query(request.target));
    }
    return {404, "{}"};
}

http_response store::transact(const json& body) {
    const std::lock_guard lock(mutex_);
    const auto address_of = [](const json& in) {
        return address{in.at("table"), in.value("part", ""), in.at("key")};
    };
    json current = json::array();
    bool holds = true;
    for (const auto& condition : body.value("expected", json::array())) {
        const auto found = rows_.find(address_of(condition));
        const auto version = found == rows_.end() ? 0 : found->second.version;
        holds = holds && version == condition.value("schemaVersion", std::uint64_t{0});
        if (found != rows_.end()) {
            current.push_back(encode(found->first, found->second));
        }
    }
    if (!holds) {
        return {412, finish({{"rows", current}}).dump()};
    }
    ++version_;
    for (const auto& put : body.value("puts", json::array())) {
        const auto where = address_of(put);
        rows_[where] = {put.value("value", ""), version_};
        history_.push_back({where, rows_[where], false});
    }
    for (const auto& removal : body.value("remove", json::array())) {
        const auto where = address_of(removal);
        if (rows_.erase(where) > 0) {
            history_.push_back({where, {"", version_}, true});
        }
    }
    changed_.notify_all();
    return {200, finish(json::object()).dump()};
}

http_response store::read(const std::map<std::string, std::string>& query) {
    const std::lock_guard lock(mutex_);
    const auto value = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const std::string limit = value("limit");
    const auto most = limit.empty() ? max_rows : std::min<std::size_t>(max_rows, std::stoul(limit));
    json found = json::array();
    bool has_more = false;
    for (auto each = rows_.lower_bound({value("table"), value("part"), value("from")});
         each != rows_.end(); ++each) {
        const auto& [table, part, key] = each->first;
        if (table != value("table") || part != value("part") ||
            (!value("target").empty() && key >= value("target"))) {
            break;
        }
        if (found.size() == most) {
            has_more = true;
            break;
        }
        found.push_back(encode(each->first, each->second));
    }
    return {200, finish({{"rows", found}, {"morePages", has_more}}).dump()};
}

http_response store::feed(const std::map<std::string, std::string>& query) {
    std::unique_lock lock(mutex_);
    const auto after = std::stoull(query.at("after"));
    const auto& table = query.at("table");
    const auto wait = query.contains("waitMs") ? std::stoll(query.at("waitMs")) : 0;
    json found = json::array();
    const auto collect = [&] {
        for (const auto& each : history_) {
            if (each.now.version > after && std::get<0>(each.where) == table) {
                auto row = encode(each.where, each.now);
                if (each.is_removal) {
                    row["removed"] = true;
                }
                found.push_back(std::move(row));
            }
        }
        return !found.empty() || is_closing_;
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait), collect);
    return {200, finish({{"rows", found}}).dump()};
}

}  // namespace review

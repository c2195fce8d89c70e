#include "platform_service.hpp"

#include <algorithm>
#include <set>
#include <thread>

namespace tanagerpaddle::standin {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr std::size_t max_scan_rows = 1'000;

std::string prefix_of(const std::string& key) {
    return key.substr(0, key.find('/'));
}

std::string to_hex_digits(const std::string& bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += {digits[byte >> 4U], digits[byte & 15U]};
    }
    return text;
}

std::string from_hex_digits(const std::string& text) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        bytes.push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

bool is_text(const std::string& value) {
    try {
        (void)json(value).dump();
        return true;
    } catch (const json::type_error&) {
        return false;
    }
}

json encode_row(const table_row& row, bool is_hex) {
    return {{"key", row.key},
            {"value", is_hex ? to_hex_digits(row.value) : row.value},
            {"version", row.version.value()}};
}

// Values that are not UTF-8 make the whole message carry hexadecimal digits.
json encode_rows(const std::vector<table_row>& rows) {
    const bool is_hex =
        !std::all_of(rows.begin(), rows.end(), [](const auto& row) { return is_text(row.value); });
    json message{{"rows", json::array()}};
    for (const auto& row : rows) {
        message["rows"].push_back(encode_row(row, is_hex));
    }
    if (is_hex) {
        message["encoding"] = "hex";
    }
    return message;
}

table_transaction decode_transaction(const json& message) {
    const bool is_hex = message.value("encoding", "") == "hex";
    table_transaction transaction;
    for (const auto& condition : message.at("conditions")) {
        transaction.conditions.push_back(
            {condition.at("key").get<std::string>(),
             row_version(condition.at("expected").get<std::uint64_t>())});
    }
    for (const auto& put : message.at("puts")) {
        auto value = put.at("value").get<std::string>();
        transaction.puts.push_back(
            {put.at("key").get<std::string>(), is_hex ? from_hex_digits(value) : std::move(value)});
    }
    message.at("deletes").get_to(transaction.deletes);
    return transaction;
}

std::optional<write_budget> budget_for(const clock& time, double per_second) {
    if (per_second <= 0) {
        return std::nullopt;
    }
    // One second's worth may come at once.
    return write_budget(time, per_second, std::max(per_second, 1.0), 0);
}

json to_json(const store_counters& counters) {
    return {{"reads", counters.reads},
            {"transactions", counters.transactions},
            {"rows_written", counters.rows_written},
            {"conflicts", counters.conflicts}};
}

}  // namespace

platform_service::platform_service(const clock& time, const platform_limits& limits,
                                   std::uint64_t seed, const std::string& log_path)
    : time_(time), rows_(seed), random_(seed) {
    set_limits(limits);
    if (!log_path.empty()) {
        log_.open(log_path, std::ios::app);
        if (!log_) {
            throw error(result_code::invalid_settings, "cannot open " + log_path);
        }
    }
}

void platform_service::set_limits(const platform_limits& limits) {
    limits_ = limits;
    // write_budget refers to the clock and cannot be assigned, so it is made anew.
    write_budget_.reset();
    read_budget_.reset();
    if (auto budget = budget_for(time_, limits.rows_written_per_second)) {
        write_budget_.emplace(*budget);
    }
    if (auto budget = budget_for(time_, limits.reads_per_second)) {
        read_budget_.emplace(*budget);
    }
}

void platform_service::change_faults(const json& changes) {
    const std::lock_guard lock(mutex_);
    platform_faults faults = faults_;
    platform_limits limits = limits_;
    for (const auto& [name, value] : changes.items()) {
        if (name == "down") {
            value.get_to(faults.is_down);
        } else if (name == "latency_ms") {
            value.get_to(faults.added_latency_ms);
        } else if (name == "lost_answer") {
            value.get_to(faults.lost_answer);
        } else if (name == "lost_request") {
            value.get_to(faults.lost_request);
        } else if (name == "write_limit") {
            value.get_to(limits.rows_written_per_second);
        } else if (name == "read_limit") {
            value.get_to(limits.reads_per_second);
        } else {
            throw error(result_code::malformed_request, "unknown fault " + name);
        }
    }
    faults_ = faults;
    set_limits(limits);
}

json platform_service::counters() const {
    const std::lock_guard lock(mutex_);
    json message = to_json(total_);
    message["prefixes"] = json::object();
    for (const auto& [prefix, counters] : by_prefix_) {
        message["prefixes"][prefix] = to_json(counters);
    }
    return message;
}

void platform_service::take_read() {
    const std::lock_guard lock(mutex_);
    if (read_budget_ && !read_budget_->try_take(1, true)) {
        throw error(result_code::overloaded, "read limit reached");
    }
}

void platform_service::take_rows(std::size_t rows) {
    const std::lock_guard lock(mutex_);
    if (write_budget_ && !write_budget_->try_take(rows, true)) {
        throw error(result_code::overloaded, "write limit reached");
    }
}

json platform_service::read(const json& message) {
    const auto key = message.at("key").get<std::string>();
    take_read();
    const auto row = rows_.read(key);
    {
        const std::lock_guard lock(mutex_);
        ++total_.reads;
        ++by_prefix_[prefix_of(key)].reads;
    }
    if (!row) {
        return {{"row", nullptr}};
    }
    const bool is_hex = !is_text(row->value);
    json answer{{"row", encode_row(*row, is_hex)}};
    if (is_hex) {
        answer["encoding"] = "hex";
    }
    return answer;
}

json platform_service::scan(const json& message) {
    const auto prefix = message.at("prefix").get<std::string>();
    const auto limit = std::min(message.at("limit").get<std::size_t>(), max_scan_rows);
    take_read();
    const auto rows = rows_.scan(prefix, message.at("after").get<std::string>(), limit);
    {
        const std::lock_guard lock(mutex_);
        ++total_.reads;
        ++by_prefix_[prefix_of(prefix)].reads;
    }
    return encode_rows(rows);
}

json platform_service::commit(const json& message) {
    const table_transaction transaction = decode_transaction(message);
    take_rows(transaction.write_count());
    const commit_result result = rows_.commit(transaction);
    count_commit(transaction, result);
    return {{"committed", result.committed},
            {"version", result.version.value()},
            {"conflicts", result.conflicts}};
}

void platform_service::count_commit(const table_transaction& transaction,
                                    const commit_result& result) {
    const std::lock_guard lock(mutex_);
    std::set<std::string> prefixes;
    for (const auto& put : transaction.puts) {
        prefixes.insert(prefix_of(put.key));
        by_prefix_[prefix_of(put.key)].rows_written += result.committed ? 1 : 0;
    }
    for (const auto& key : transaction.deletes) {
        prefixes.insert(prefix_of(key));
        by_prefix_[prefix_of(key)].rows_written += result.committed ? 1 : 0;
    }
    for (const auto& key : result.conflicts) {
        ++by_prefix_[prefix_of(key)].conflicts;
    }
    for (const auto& prefix : prefixes) {
        ++by_prefix_[prefix].transactions;
    }
    ++total_.transactions;
    total_.conflicts += result.committed ? 0 : 1;
    total_.rows_written += result.committed ? transaction.write_count() : 0;
    if (log_.is_open() && result.committed) {
        json line{{"version", result.version.value()}, {"deletes", transaction.deletes}};
        line["ms"] = std::chrono::duration_cast<milliseconds>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
        line["puts"] = json::array();
        for (const auto& put : transaction.puts) {
            line["puts"].push_back(put.key);
        }
        log_ << line.dump() << std::endl;
    }
}

server::handler platform_service::with_faults(server::handler handle) {
    return [this, handle = std::move(handle)](const httplib::Request& request,
                                              httplib::Response& response) {
        platform_faults faults;
        bool is_request_lost = false;
        bool is_answer_lost = false;
        {
            const std::lock_guard lock(mutex_);
            faults = faults_;
            is_request_lost = random_.chance(faults.lost_request);
            is_answer_lost = random_.chance(faults.lost_answer);
        }
        if (faults.added_latency_ms > 0) {
            std::this_thread::sleep_for(milliseconds(faults.added_latency_ms));
        }
        if (faults.is_down) {
            throw error(result_code::store_unavailable, "the platform is down");
        }
        if (is_request_lost) {
            drop_connection(response);
            return;
        }
        handle(request, response);
        if (is_answer_lost) {
            drop_connection(response);
        }
    };
}

void platform_service::add_table_routes(server& http) {
    using operation = json (platform_service::*)(const json&);
    struct table_route {
        const char* path;
        operation run;
    };
    for (const auto& route : {table_route{"/table/read", &platform_service::read},
                              table_route{"/table/scan", &platform_service::scan},
                              table_route{"/table/commit", &platform_service::commit}}) {
        const operation run = route.run;
        http.add_route(
            "POST", route.path,
            with_faults([this, run](const httplib::Request& request, httplib::Response& response) {
                answer_json(response, status_ok, (this->*run)(json::parse(request.body)));
            }));
    }
}

void platform_service::add_object_routes(server& http) {
    const std::string pattern = "/objects/(.+)";
    http.add_route(
        "GET", pattern,
        with_faults([this](const httplib::Request& request, httplib::Response& response) {
            take_read();
            const auto bytes = objects_.read(request.matches[1].str());
            response.status = bytes ? status_ok : status_not_found;
            response.set_content(bytes.value_or(""), "application/octet-stream");
        }));
    http.add_route(
        "PUT", pattern,
        with_faults([this](const httplib::Request& request, httplib::Response& response) {
            objects_.put(request.matches[1].str(), request.body);
            answer_json(response, status_ok, json::object());
        }));
    http.add_route(
        "DELETE", pattern,
        with_faults([this](const httplib::Request& request, httplib::Response& response) {
            objects_.remove(request.matches[1].str());
            answer_json(response, status_ok, json::object());
        }));
}

void platform_service::add_routes(server& http) {
    add_table_routes(http);
    add_object_routes(http);
    http.add_json_route("/control/faults", [this](const json& changes) {
        change_faults(changes);
        return json::object();
    });
    http.add_route("GET", "/control/counters",
                   [this](const httplib::Request&, httplib::Response& response) {
                       answer_json(response, status_ok, counters());
                   });
}

}  // namespace tanagerpaddle::standin

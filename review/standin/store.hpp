#pragma once

// The platform's metadata store, as PROTOCOL.md describes its rows. Keeps its whole history.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "http.hpp"

namespace review {

class store {
public:
    explicit store(std::uint16_t port);
    ~store();

    // The operator writes or removes a row of the table `op`.
    void put_operator_row(const std::string& key, const nlohmann::json& value);

private:
    using json = nlohmann::json;
    using address = std::tuple<std::string, std::string, std::string>;
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change {
        address where;
        row now;
        bool is_removal = false;
    };

    [[nodiscard]] http_response answer(const http_request& request);
    [[nodiscard]] http_response transact(const json& body);
    [[nodiscard]] http_response read(const std::map<std::string, std::string>& query);
    [[nodiscard]] http_response feed(const std::map<std::string, std::string>& query);
    [[nodiscard]] static json encode(const address& where, const row& found);
    [[nodiscard]] json finish(json body) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<address, row> rows_;
    std::vector<change> history_;
    std::uint64_t version_ = 0;
    bool is_closing_ = false;
    http_server server_;
};

}  // namespace review

#include "tanagerpaddle/membership.hpp"

namespace tanagerpaddle {

namespace {

// The characters of IPv4 and IPv6 addresses; a name would have to be looked up at each call.
bool is_address_text(std::string_view text) {
    constexpr std::string_view characters = "0123456789abcdefABCDEF.:";
    constexpr std::size_t max_address_bytes = 45;  // the longest IPv6 text
    return !text.empty() && text.size() <= max_address_bytes &&
           text.find_first_not_of(characters) == std::string_view::npos;
}

entry_info read_registration(const table_row& row) {
    auto info = decode<entry_info>(row.value);
    if (info.id.empty() || row.key != entry_key(info.id)) {
        throw error(result_code::malformed_request, "the row describes another entry");
    }
    if (info.control.port == 0 || !is_address_text(info.control.address)) {
        throw error(result_code::malformed_request,
                    "the control address is no IP address with a port");
    }
    return info;
}

}  // namespace

registrations read_registrations(const std::vector<table_row>& rows) {
    registrations result;
    result.entries.reserve(rows.size());
    for (const auto& row : rows) {
        try {
            result.entries.push_back(read_registration(row));
        } catch (const error& failure) {
            result.unreadable.push_back({row.key, failure.what()});
        }
    }
    return result;
}

}  // namespace tanagerpaddle

#include <nlohmann/json.hpp>

#include "ownership.hpp"
#include "tanagerpaddle/json_input.hpp"

namespace tanagerpaddle::dispatch {

std::string encode(const owner_record& record) {
    nlohmann::json out{{"name", record.name},
                       {"life", record.incarnation},
                       {"address", record.address},
                       {"epoch", record.epoch.value()},
                       {"released", record.is_released},
                       {"strongest", record.max_processors.value()}};
    if (record.sent_by) {
        out["sent_by"] = record.sent_by->time_since_epoch().count();
    }
    if (record.earlier_grants_end_by) {
        out["earlier_grants_end_by"] = record.earlier_grants_end_by->time_since_epoch().count();
    }
    return out.dump();
}

std::optional<owner_record> decode_owner(std::string_view text) {
    try {
        const auto in = json_input::parse(text);
        // Entries of earlier versions do not write all times.
        const auto time_at = [&](const char* key) -> std::optional<store_instant> {
            if (!in.contains(key)) {
                return std::nullopt;
            }
            // The store's clock may have any origin.
            return store_instant(milliseconds(json_input::whole_number<std::int64_t>(
                in.at(key), -json_input::max_time_ms, json_input::max_time_ms)));
        };
        owner_record record{in.at("name"),
                            in.at("life"),
                            in.at("address"),
                            epoch_number(json_input::whole_number<std::uint64_t>(
                                in.at("epoch"), 0, json_input::max_owner_epoch)),
                            in.at("released"),
                            json_input::amount<millicores>(in.at("strongest"))};
        record.sent_by = time_at("sent_by");
        record.earlier_grants_end_by = time_at("earlier_grants_end_by");
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const error&) {
        return std::nullopt;
    }
}

}  // namespace tanagerpaddle::dispatch

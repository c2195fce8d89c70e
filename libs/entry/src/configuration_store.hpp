#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/protocol.hpp"
#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle {

// A configuration in force, with the row that it came from.
struct accepted_configuration {
    config_version version;
    std::shared_ptr<const configuration> declared;
    configuration_row row;
};

// One change that an operator asks for.
struct configuration_change_request {
    std::string document;
    // The version that the operator saw; the change is refused if it is not the present one.
    config_version expected;
    operation_id operation;
    std::string changed_by;
};

// The accepted configuration in the platform's table. Thread-safe.
class configuration_store {
public:
    explicit configuration_store(table& rows) : rows_(rows) {}

    // Writes the change if the table holds the expected version. A repeated operation gives the
    // version that it made. Throws error(invalid_configuration), error(configuration_conflict),
    // error(store_unavailable) or, if the outcome could not be resolved by reading back,
    // error(store_outcome_unknown).
    [[nodiscard]] accepted_configuration apply(const configuration_change_request& change);
    // The row in the table, parsed only if it is newer than `held`. Null `declared` if not.
    // Throws error(store_unavailable).
    [[nodiscard]] accepted_configuration read_newer(config_version held);

private:
    [[nodiscard]] table_transaction make_transaction(const std::optional<table_row>& present,
                                                     const configuration_row& next,
                                                     const configuration& declared);

    table& rows_;
    std::mutex mutex_;
};

// The row's configuration. Throws error(invalid_configuration).
[[nodiscard]] accepted_configuration parse_row(configuration_row row);

}  // namespace tanagerpaddle

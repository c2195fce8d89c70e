#include "configuration_store.hpp"

#include <algorithm>

namespace tanagerpaddle {

namespace {

// Operations that are remembered, so that a repeated or unanswered one is recognised.
constexpr std::size_t remembered_operations = 64;
// Tries to resolve a commit whose answer was lost.
constexpr int most_commit_tries = 5;

std::string operation_entry(const operation_id& operation, config_version version) {
    return operation.value() + "@" + std::to_string(version.value());
}

bool was_accepted(const configuration_row& row, const operation_id& operation) {
    const std::string prefix = operation.value() + "@";
    return std::any_of(row.operations.begin(), row.operations.end(),
                       [&](const std::string& item) { return item.starts_with(prefix); });
}

// False without a row; nothing if the row cannot be read, so that the next change writes it.
std::optional<bool> stored_drain(const std::optional<table_row>& row) {
    if (!row) {
        return false;
    }
    try {
        return decode<domain_row>(row->value).is_drained;
    } catch (const error&) {
        return std::nullopt;
    }
}

void check_document(const configuration& declared) {
    const auto problems = validate(declared);
    if (problems.empty()) {
        return;
    }
    std::string text = "the configuration is not valid:";
    for (const auto& problem : problems) {
        text += "\n" + to_string(problem);
    }
    throw error(result_code::invalid_configuration, text);
}

}  // namespace

accepted_configuration parse_row(configuration_row row) {
    accepted_configuration result;
    result.version = row.version;
    auto declared =
        std::make_shared<const configuration>(from_yaml(row.document, "config/current"));
    check_document(*declared);
    result.declared = std::move(declared);
    result.row = std::move(row);
    return result;
}

table_transaction configuration_store::make_transaction(const std::optional<table_row>& present,
                                                        const configuration_row& next,
                                                        const configuration& declared) {
    const std::string key(configuration_key);
    table_transaction result;
    result.conditions.push_back({key, present ? present->version : row_version()});
    result.puts.push_back({key, encode(next)});
    for (const auto& domain : declared.failure_domains) {
        const bool is_drained = declared.is_drained(domain.id);
        const auto row = rows_.read(domain_key(domain.id));
        if (stored_drain(row) != is_drained) {
            result.conditions.push_back(
                {domain_key(domain.id), row ? row->version : row_version()});
            result.puts.push_back(
                {domain_key(domain.id), encode(domain_row{is_drained, next.version})});
        }
    }
    return result;
}

accepted_configuration configuration_store::apply(const configuration_change_request& change) {
    const configuration declared = from_yaml(change.document, "request");
    check_document(declared);
    const std::lock_guard lock(mutex_);
    bool may_have_taken_effect = false;
    for (int tries = 0; tries < most_commit_tries; ++tries) {
        try {
            const auto present = rows_.read(std::string(configuration_key));
            configuration_row row =
                present ? decode<configuration_row>(present->value) : configuration_row{};
            if (was_accepted(row, change.operation)) {
                return parse_row(std::move(row));
            }
            if (row.version != change.expected) {
                throw error(result_code::configuration_conflict,
                            "the present version is " + std::to_string(row.version.value()) +
                                ", the change expects " + std::to_string(change.expected.value()));
            }
            row.version = row.version.next();
            row.document = change.document;
            row.changed_by = change.changed_by;
            row.operations.push_back(operation_entry(change.operation, row.version));
            if (row.operations.size() > remembered_operations) {
                row.operations.erase(row.operations.begin());
            }
            if (rows_.commit(make_transaction(present, row, declared)).committed) {
                return parse_row(std::move(row));
            }
        } catch (const error& failure) {
            if (failure.code() == result_code::store_outcome_unknown) {
                may_have_taken_effect = true;
            } else if (failure.code() != result_code::store_unavailable || !may_have_taken_effect) {
                throw;
            }
        }
    }
    throw error(
        may_have_taken_effect ? result_code::store_outcome_unknown : result_code::store_unavailable,
        "operation " + change.operation.value() +
            " could not be resolved; repeat it with the same operation id");
}

accepted_configuration configuration_store::read_newer(config_version held) {
    accepted_configuration result;
    const auto present = rows_.read(std::string(configuration_key));
    if (!present) {
        return result;
    }
    auto row = decode<configuration_row>(present->value);
    if (row.version <= held) {
        return result;
    }
    return parse_row(std::move(row));
}

}  // namespace tanagerpaddle

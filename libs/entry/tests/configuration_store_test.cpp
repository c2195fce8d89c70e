#include "configuration_store.hpp"

#include <doctest/doctest.h>

#include <functional>

using namespace tanagerpaddle;

namespace {

std::string document(const std::vector<std::string>& drains = {}) {
    configuration_builder builder;
    builder.failure_domain("a", "r").failure_domain("b", "r");
    for (const auto& domain : drains) {
        builder.drain(domain);
    }
    return to_yaml(builder.build());
}

configuration_change_request change(const std::string& text, std::uint64_t expected,
                                    const std::string& operation) {
    return {text, config_version(expected), operation_id(operation), "operator"};
}

result_code code_of(const std::function<void()>& action) {
    try {
        action();
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

// Fails one call after the table has taken it: the answer is lost.
class answer_losing_table final : public table {
public:
    std::optional<table_row> read(const std::string& key) override { return rows_.read(key); }
    std::vector<table_row> scan(const std::string& prefix, const std::string& after,
                                std::size_t limit) override {
        return rows_.scan(prefix, after, limit);
    }
    commit_result commit(const table_transaction& transaction) override {
        auto result = rows_.commit(transaction);
        if (lose_next) {
            lose_next = false;
            throw error(result_code::store_outcome_unknown, "lost");
        }
        return result;
    }

    bool lose_next = false;

private:
    memory_table rows_;
};

}  // namespace

// Without the condition on the version, the later of two racing operators undoes the other's
// change without noticing it.
TEST_CASE("of two operators that saw the same version one gets a conflict") {
    memory_table rows;
    configuration_store first(rows);
    configuration_store second(rows);
    CHECK(first.apply(change(document(), 0, "op1")).version == config_version(1));
    CHECK(code_of([&] { (void)second.apply(change(document({"a"}), 0, "op2")); }) ==
          result_code::configuration_conflict);
    CHECK(second.apply(change(document({"a"}), 1, "op3")).version == config_version(2));
}

// A repeat after a lost answer must neither conflict with itself nor be counted as a new change.
TEST_CASE("a change whose answer was lost is recognised by its operation id") {
    answer_losing_table rows;
    configuration_store store(rows);
    rows.lose_next = true;
    CHECK(store.apply(change(document(), 0, "op1")).version == config_version(1));
    CHECK(store.apply(change(document(), 0, "op1")).version == config_version(1));
    CHECK(decode<configuration_row>(rows.read("config/current")->value).version ==
          config_version(1));
}

// Claims are conditional on the row of the failure domain, so it has to change with the drain.
TEST_CASE("a drain writes the failure domain's row in the same transaction") {
    memory_table rows;
    configuration_store store(rows);
    (void)store.apply(change(document(), 0, "op1"));
    CHECK_FALSE(rows.read(domain_key(failure_domain_id("a"))).has_value());
    (void)store.apply(change(document({"a"}), 1, "op2"));
    CHECK(decode<domain_row>(rows.read(domain_key(failure_domain_id("a")))->value).is_drained);
    (void)store.apply(change(document(), 2, "op3"));
    CHECK_FALSE(
        decode<domain_row>(rows.read(domain_key(failure_domain_id("a")))->value).is_drained);
}

TEST_CASE("nothing is accepted while the table is down or the document is not valid") {
    memory_table rows;
    configuration_store store(rows);
    CHECK(code_of([&] { (void)store.apply(change("services: [", 0, "op1")); }) ==
          result_code::invalid_configuration);
    rows.set_faults({.is_down = true, .lost_answer = 0, .lost_request = 0});
    CHECK(code_of([&] { (void)store.apply(change(document(), 0, "op1")); }) ==
          result_code::store_unavailable);
    rows.set_faults({});
    CHECK(store.read_newer(config_version()).version == config_version());
}

TEST_CASE("only a newer row is read") {
    memory_table rows;
    configuration_store store(rows);
    (void)store.apply(change(document(), 0, "op1"));
    CHECK(store.read_newer(config_version()).declared != nullptr);
    CHECK(store.read_newer(config_version(1)).declared == nullptr);
}

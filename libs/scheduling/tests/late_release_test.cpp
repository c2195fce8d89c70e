// Releases of a partition that the table does not answer.

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

namespace {

// Answers no commit while a fault is set.
class unanswering_table final : public table {
public:
    explicit unanswering_table(table& rows) : rows_(rows) {}

    [[nodiscard]] std::optional<table_row> read(const std::string& key) override {
        return rows_.read(key);
    }
    [[nodiscard]] std::vector<table_row> scan(const std::string& prefix, const std::string& after,
                                              std::size_t limit) override {
        return rows_.scan(prefix, after, limit);
    }
    [[nodiscard]] commit_result commit(const table_transaction& transaction) override {
        if (delays_commits) {
            delayed_.push_back(transaction);
        } else {
            commit_result result = rows_.commit(transaction);
            if (!loses_answers) {
                return result;
            }
        }
        throw error(result_code::store_outcome_unknown, "no answer in time");
    }
    // Carries out the delayed commits whose conditions still hold.
    void carry_out_delayed() {
        for (const auto& transaction : delayed_) {
            static_cast<void>(rows_.commit(transaction));
        }
        delayed_.clear();
    }

    bool loses_answers = false;
    bool delays_commits = false;

private:
    table& rows_;
    std::vector<table_transaction> delayed_;
};

}  // namespace

// Guards against leases that outlast what the released row tells the next owner.
TEST_CASE("an owner grants no lease after a release whose answer is missing") {
    world w;
    unanswering_table rows(w.rows);
    w.add_entry();
    w.add_entry();
    auto& first = *w.entries[0];
    auto& second = *w.entries[1];
    first.scheduler =
        std::make_unique<entry_scheduler>(w.options, first.info, rows, w.strategy, w.time, 1);
    second.is_frozen = true;
    w.set_live({0});
    second.scheduler->set_live_entries({second.info});
    w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    REQUIRE(first.scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    REQUIRE(w.record.starts[0].worker == worker_id("w1"));
    // Half of the leases has passed when the partition is released, and its row is not renewed
    // soon.
    w.agents[0]->is_disconnected = true;
    w.agents[1]->is_disconnected = true;
    w.run(seconds(12));
    bool stays_silent = false;
    SUBCASE("the table has carried it out") {
        rows.loses_answers = true;
    }
    SUBCASE("the table carries it out late") {
        rows.delays_commits = true;
    }
    SUBCASE("the table carries it out late and answers no other write before") {
        rows.delays_commits = true;
        stays_silent = true;
    }
    CHECK_FALSE(first.scheduler->release_all());
    rows.loses_answers = false;
    rows.delays_commits = stays_silent;
    // The worker reaches the first entry only, and for a short time.
    w.agents[0]->is_disconnected = false;
    w.run(seconds(3));
    w.agents[0]->is_disconnected = true;
    rows.delays_commits = false;
    rows.carry_out_delayed();
    second.is_frozen = false;
    w.agents[1]->is_disconnected = false;
    w.agents[1]->entry = 1;
    CHECK(w.run_until([&] { return w.record.starts.size() == 2; }, seconds(40)));
    CHECK(second.scheduler->owns(partition_number(0)));
    CHECK(w.record.starts.back().worker == worker_id("w2"));
    CHECK(w.record.concurrent_runs == 0);
}

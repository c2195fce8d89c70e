// Jobs whose progress is stored in several rows: what is written together, in which order, and what
// a new owner reads.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <utility>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using std::chrono::seconds;

namespace {

struct recorder final : coordinator_orders {
    void start(const instance_name& instance, const start_order& order) override {
        started.push_back(order);
        instances.push_back(instance);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {
        ++acknowledgements;
    }
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void report_unstored_checkpoint(const task_key&, std::size_t) override {
        ++unstored_checkpoints;
    }

    [[nodiscard]] std::vector<std::pair<std::uint32_t, std::uint32_t>> index_and_run() const {
        std::vector<std::pair<std::uint32_t, std::uint32_t>> found;
        for (const auto& order : started) {
            found.emplace_back(order.task.index, order.run.value());
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    std::vector<start_order> started;
    // The instance of each order.
    std::vector<instance_name> instances;
    int acknowledgements = 0;
    int unstored_checkpoints = 0;
};

coordinator::options small_rows(std::uint32_t tasks_per_row, std::size_t max_rows_per_write) {
    coordinator::options settings;
    settings.tasks_per_row = tasks_per_row;
    settings.max_rows_per_write = max_rows_per_write;
    return settings;
}

struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs;
    const job_id job{"job"};
    const instance_name name{"m1"};
    const executor_incarnation incarnation{1};
    std::uint64_t completions = 0;

    explicit fixture(const coordinator::options& settings = small_rows(2, 90))
        : jobs(settings, time, orders) {
        jobs.set_queues({{queue_id("queue"), default_rules()}});
    }
    void add(const std::string& id, const job_shape& shape) {
        jobs.add_job(make_job(id, shape), milliseconds(0));
    }
    bool restore(std::uint32_t number, const std::string& row) {
        return jobs.restore(job, row, time.now() + seconds(5), number);
    }
    void claim(std::int64_t millicores_of_all = 64'000) { claim(name, millicores_of_all); }
    void claim(const instance_name& instance, std::int64_t millicores_of_all) {
        executor_info info;
        info.id = executor_id("executor of " + instance.value());
        info.incarnation = incarnation;
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(millicores_of_all), mebibytes(1'000'000), accelerator_count(0)};
        jobs.instance_claimed(instance, {info, {}, {}});
    }
    // Begins a write; returns the numbers of its rows.
    std::vector<std::uint32_t> begin() {
        std::vector<std::uint32_t> numbers;
        for (const auto& row : jobs.begin_write()) {
            numbers.push_back(row.number);
        }
        return numbers;
    }
    void write_all() {
        jobs.plan();
        while (jobs.has_writes()) {
            (void)begin();
            jobs.write_done();
        }
    }
    void finish(const start_order& order, run_outcome outcome, const std::string& checkpoint = "") {
        jobs.start_reported(name, order.task, order.run, start_outcome::started);
        jobs.runs_finished(
            name, incarnation,
            {{completion_number(++completions), order.task, order.run, outcome, checkpoint}});
    }
    // Writes, and lets each task that starts finish, until nothing more starts.
    void run_to_end() {
        for (write_all(); !orders.started.empty(); write_all()) {
            for (const auto& order : std::exchange(orders.started, {})) {
                finish(order, run_outcome::succeeded);
            }
        }
    }
};

using numbers = std::vector<std::uint32_t>;
using runs = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

const std::vector<std::string> stored_rows{R"({"p":1,"t":[[0,0,0,3,0,"",""]],"d":[[0,0,[1]]]})",
                                           R"({"p":1,"t":[[0,0,2,2,0,"",""]],"d":[[0,0,[3]]]})",
                                           R"({"p":1,"t":[[0,0,4,7,0,"",""]],"d":[]})"};

}  // namespace

// ---------------------------------------------------------------------------------------------
// Reading

// Guards against run numbers that an executor has already seen, and against second runs of tasks
// that have succeeded.
TEST_CASE("a job in several rows continues where it was, in whatever order the rows are read") {
    numbers order{0, 1, 2};
    do {
        CAPTURE(order);
        fixture f;
        f.add("job", {1, 5});
        for (const auto number : order) {
            CHECK(f.restore(number, stored_rows[number]));
        }
        f.claim();
        f.write_all();
        CHECK(f.orders.index_and_run() == runs{{0, 4}, {2, 3}, {4, 8}});
        f.run_to_end();
        CHECK(f.jobs.status(f.job)->phase == job_phase::completed);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a missing row leaves its tasks without a run, and the others as they were") {
    fixture f;
    f.add("job", {1, 5});
    runs expected;
    SUBCASE("the first") {
        CHECK(f.restore(1, stored_rows[1]));
        CHECK(f.restore(2, stored_rows[2]));
        CHECK(f.jobs.status(f.job)->phase == job_phase::running);
        expected = {{0, 1}, {1, 1}, {2, 3}, {4, 8}};
    }
    SUBCASE("a later one") {
        CHECK(f.restore(0, stored_rows[0]));
        CHECK(f.restore(2, stored_rows[2]));
        expected = {{0, 4}, {2, 1}, {3, 1}, {4, 8}};
    }
    SUBCASE("all but the first") {
        CHECK(f.restore(0, stored_rows[0]));
        expected = {{0, 4}, {2, 1}, {3, 1}, {4, 1}};
    }
    f.claim();
    f.write_all();
    CHECK(f.orders.index_and_run() == expected);
    f.run_to_end();
    CHECK(f.jobs.status(f.job)->phase == job_phase::completed);
}

TEST_CASE("rows and entries that do not belong to the job are ignored") {
    fixture f;
    f.add("job", {1, 5});
    CHECK_FALSE(f.restore(3, stored_rows[0]));
    CHECK_FALSE(f.restore(1, R"({"p":1,"t":[[0,0,0,9,0,"",""]],"d":[[0,0,[4]]]})"));
    f.claim();
    f.write_all();
    CHECK(f.orders.index_and_run() == runs{{0, 1}, {1, 1}, {2, 1}, {3, 1}, {4, 1}});
}

// Guards against capacity that the tasks of a finished job keep: its later rows stay as they were.
TEST_CASE("the later rows of a job that has ended take no capacity") {
    const std::string row = R"({"p":1,"t":[[0,0,2,2,0,"m1",""]],"d":[[0,0,[3]]]})";
    fixture f;
    f.add("job", {1, 5});
    SUBCASE("read after the first") {
        CHECK(f.restore(0, R"({"p":3})"));
        CHECK(f.restore(1, row));
    }
    SUBCASE("read before the first") {
        CHECK(f.restore(1, row));
        CHECK(f.restore(0, R"({"p":3})"));
    }
    CHECK(f.jobs.status(f.job)->phase == job_phase::failed);
    f.add("other", {1, 1, 1'000});
    f.claim(1'000);
    f.write_all();
    REQUIRE(f.orders.started.size() == 1);
    CHECK(f.orders.started[0].task.job == job_id("other"));
}

// Guards against the loss of what an earlier version stored in one row for all tasks.
TEST_CASE("a first row of an earlier version counts until the other rows are written") {
    const std::string earlier =
        R"({"p":1,"t":[[0,0,0,3,0,"",""],[0,0,2,2,0,"",""],[0,0,4,7,0,"",""]],"d":[[0,0,[1,3]]]})";
    fixture f(small_rows(2, 1));
    f.add("job", {1, 5});
    runs expected{{0, 4}, {2, 3}, {4, 8}};
    SUBCASE("alone") {
        CHECK(f.restore(0, earlier));
    }
    SUBCASE("beside a newer row, read after it") {
        CHECK(f.restore(0, earlier));
        CHECK(f.restore(1, R"({"p":1,"t":[[0,0,2,5,0,"",""],[0,0,3,6,0,"",""]],"d":[]})"));
        expected = {{0, 4}, {2, 6}, {3, 7}, {4, 8}};
    }
    SUBCASE("beside a newer row, read before it") {
        CHECK(f.restore(1, R"({"p":1,"t":[[0,0,2,5,0,"",""],[0,0,3,6,0,"",""]],"d":[]})"));
        CHECK(f.restore(0, earlier));
        expected = {{0, 4}, {2, 6}, {3, 7}, {4, 8}};
    }
    f.claim();
    f.jobs.plan();
    numbers written;
    while (f.jobs.has_writes() && f.orders.started.empty()) {
        const auto rows = f.begin();
        written.insert(written.end(), rows.begin(), rows.end());
        f.jobs.write_done();
    }
    REQUIRE_FALSE(written.empty());
    CHECK(std::count(written.begin(), written.end(), 0U) == 1);
    CHECK(written.back() == 0);
    CHECK(std::count(written.begin(), written.end(), 2U) == 1);
    CHECK(f.orders.index_and_run() == expected);
}

TEST_CASE("keys of progress rows are read back, and any other key is that of a first row") {
    CHECK(progress_key(job_id("5c0e7a21d94b36f8"), 0) == "5c0e7a21d94b36f8");
    CHECK(progress_key(job_id("5c0e7a21d94b36f8"), 12) == "5c0e7a21d94b36f8/12");
    const auto later = parse_progress_key("5c0e7a21d94b36f8/12");
    CHECK(later.job == job_id("5c0e7a21d94b36f8"));
    CHECK(later.number == 12);
    for (const char* key :
         {"job", "job/", "job/0", "job/01", "job/-1", "job/1x", "job/9999999999"}) {
        CAPTURE(key);
        CHECK(parse_progress_key(key).job == job_id(key));
        CHECK(parse_progress_key(key).number == 0);
    }
}

// ---------------------------------------------------------------------------------------------
// Writing

TEST_CASE("only the rows with changes are written") {
    fixture f;
    f.add("job", {1, 6});
    f.claim();
    f.jobs.plan();
    CHECK(f.begin() == numbers{0, 1, 2});
    f.jobs.write_done();
    REQUIRE(f.orders.started.size() == 6);
    const auto order = *std::find_if(f.orders.started.begin(), f.orders.started.end(),
                                     [](const auto& each) { return each.task.index == 3; });
    f.finish(order, run_outcome::succeeded);
    CHECK(f.begin() == numbers{1});
}

// Guards against starts that a new owner does not know of.
TEST_CASE("the starts of a job are sent when all its rows are durable") {
    fixture f(small_rows(1, 1));
    f.add("job", {1, 3});
    f.claim();
    f.jobs.plan();
    CHECK(f.begin() == numbers{0});
    f.jobs.write_done();
    CHECK(f.orders.started.empty());
    CHECK(f.begin() == numbers{1});
    f.jobs.write_failed();
    CHECK(f.orders.started.empty());
    CHECK(f.begin() == numbers{1});
    f.jobs.write_done();
    CHECK(f.begin() == numbers{2});
    CHECK(f.orders.started.empty());
    f.jobs.write_failed();
    CHECK(f.begin() == numbers{2});
    f.jobs.write_done();
    CHECK(f.orders.started.size() == 3);
    CHECK_FALSE(f.jobs.has_writes());
}

// Guards against a new owner that finds a step started whose earlier step it has to run again, and
// against completions that executors forget before they are durable.
TEST_CASE("a step starts, and completions are acknowledged, once the earlier step is durable") {
    fixture f(small_rows(1, 1));
    f.add("job", {2, 2});
    f.claim();
    f.write_all();
    REQUIRE(f.orders.started.size() == 2);
    for (const auto& order : std::exchange(f.orders.started, {})) {
        f.finish(order, run_outcome::succeeded);
    }
    f.jobs.plan();
    for (const std::uint32_t number : {0U, 1U, 2U, 3U}) {
        CHECK(f.orders.started.empty());
        CHECK(f.orders.acknowledgements == 0);
        CHECK(f.begin() == numbers{number});
        f.jobs.write_done();
    }
    CHECK(f.orders.started.size() == 2);
    CHECK(f.orders.acknowledgements == 1);
}

TEST_CASE("the rows of a large job do not hold up those of other jobs") {
    fixture f(small_rows(1, 2));
    f.add("job", {1, 6});
    f.claim();
    f.jobs.plan();
    CHECK(f.begin() == numbers{0, 1});
    f.add("other", {1, 1});
    f.jobs.plan();
    f.jobs.write_done();
    const auto rows = f.jobs.begin_write();
    REQUIRE_FALSE(rows.empty());
    // The large job was queued first for this write.
    CHECK(rows.front().job == job_id("job"));
    f.jobs.write_done();
    const auto later_rows = f.jobs.begin_write();
    REQUIRE_FALSE(later_rows.empty());
    CHECK(later_rows.front().job == job_id("other"));
    f.jobs.write_done();
    REQUIRE(f.orders.started.size() == 1);
    CHECK(f.orders.started[0].task.job == job_id("other"));
}

// Guards against half a gang in the table, of which a new owner would start none.
TEST_CASE("the rows of a gang are written in one transaction") {
    fixture f(small_rows(2, 4));
    f.add("a", {1, 4});
    job_shape shape{1, 6};
    shape.is_gang = true;
    f.add("gang", shape);
    f.claim();
    f.jobs.plan();
    std::vector<std::set<std::uint32_t>> gang_writes;
    while (f.jobs.has_writes()) {
        std::set<std::uint32_t> rows;
        for (const auto& row : f.jobs.begin_write()) {
            if (row.job == job_id("gang")) {
                rows.insert(row.number);
            }
        }
        if (!rows.empty()) {
            gang_writes.push_back(rows);
        }
        f.jobs.write_done();
    }
    REQUIRE(gang_writes.size() == 1);
    CHECK(gang_writes[0] == std::set<std::uint32_t>{0, 1, 2});
    // One success ends the gang, for all members at once.
    const auto order =
        *std::find_if(f.orders.started.begin(), f.orders.started.end(),
                      [](const auto& each) { return each.task.job.value() == "gang"; });
    f.finish(order, run_outcome::succeeded);
    CHECK(f.jobs.status(job_id("gang"))->phase == job_phase::running);
    f.write_all();
    CHECK(f.jobs.status(job_id("gang"))->phase == job_phase::completed);
}

// Guards against writes that the store rejects: each value is at its longest.
TEST_CASE("the rows of the largest gang fit in one write, and each row in the store's limit") {
    fixture f{coordinator::options{}};
    job_shape shape{1, max_tasks_per_step, 100};
    shape.is_gang = shape.writes_checkpoints = true;
    f.add("gang", shape);
    std::vector<instance_name> names;
    for (std::uint32_t i = 0; i < max_tasks_per_step; ++i) {
        const std::string number = std::to_string(10'000 + i);
        names.emplace_back(std::string(max_instance_name_bytes - number.size(), 'x') + number);
        CHECK_NOTHROW(validate(names.back()));
        f.claim(names.back(), 100);
    }
    CHECK_THROWS_AS(validate(instance_name(names.front().value() + "x")), error);
    f.jobs.plan();
    for (int run = 0; run < 2; ++run) {
        std::size_t bytes = 0;
        const auto rows = f.jobs.begin_write();
        for (const auto& row : rows) {
            CHECK((row.value.size() + 2) / 3 * 4 <= max_row_bytes);
            bytes += row.value.size();
        }
        CHECK(rows.size() <= 90);
        CHECK((bytes + 2) / 3 * 4 <= 990'000);
        f.jobs.write_done();
        REQUIRE(f.orders.started.size() == max_tasks_per_step);
        for (std::size_t i = 0; i < max_tasks_per_step; ++i) {
            const auto& order = f.orders.started[i];
            CHECK(order.run == run_number(static_cast<std::uint32_t>(run + 1)));
            const running_task running{order.task, order.run,
                                       std::string(max_checkpoint_bytes, 'c'), 10, 0};
            f.jobs.progress_reported(f.orders.instances[i], {running}, {});
        }
        f.orders.started.clear();
        f.orders.instances.clear();
        for (const auto& name : names) {
            f.jobs.executor_terminated(name, f.incarnation);
        }
        for (const auto& name : names) {
            f.claim(name, 100);
        }
        f.time.advance(milliseconds(10));
        f.jobs.plan();
    }
}

// Guards against an executor whose checkpoints stop the progress of all jobs: it chooses their
// length.
TEST_CASE("a checkpoint that is too long for a row is used, but not stored") {
    fixture f;
    f.add("job", {1, 2, 1'000, milliseconds(500), false, false, true});
    f.claim();
    f.write_all();
    REQUIRE(f.orders.started.size() == 2);
    std::string checkpoint;
    bool is_stored = false;
    SUBCASE("at the limit") {
        checkpoint = std::string(max_checkpoint_bytes, 'c');
        is_stored = true;
    }
    SUBCASE("over it") {
        checkpoint = std::string(max_checkpoint_bytes + 1, 'c');
    }
    SUBCASE("over it once it is escaped") {
        checkpoint = std::string(max_checkpoint_bytes, '\x01');
    }
    SUBCASE("of a megabyte") {
        checkpoint = std::string(1'000'000, 'c');
    }
    for (const auto& order : std::exchange(f.orders.started, {})) {
        f.finish(order, run_outcome::stopped, checkpoint);
    }
    for (const auto& row : f.jobs.begin_write()) {
        CHECK(row.value.size() <= 1'000);
        CHECK((row.value.find(checkpoint) != std::string::npos) == is_stored);
    }
    f.jobs.write_done();
    CHECK(f.orders.unstored_checkpoints == (is_stored ? 0 : 2));
    f.write_all();
    REQUIRE(f.orders.started.size() == 2);
    for (const auto& order : f.orders.started) {
        CHECK(order.checkpoint == checkpoint);
        f.jobs.progress_reported(f.name, {{order.task, order.run, checkpoint, 1, 0}}, {});
    }
    CHECK(f.orders.unstored_checkpoints == (is_stored ? 0 : 2));
}

// ---------------------------------------------------------------------------------------------
// Takeovers

// Guards against starts that were sent, or completions that were acknowledged, between two writes.
TEST_CASE("a takeover between the writes of two rows of a job violates no invariant") {
    for (const bool is_gang : {false, true}) {
        for (std::int64_t delay = 0; delay <= 400; delay += 7) {
            CAPTURE(is_gang);
            CAPTURE(delay);
            world_options options;
            options.tasks_per_row = 2;
            options.max_rows_per_write = 1;
            world system(options);
            system.run_for(seconds(1));
            system.submit(make_job("job", {2, 7, 1'000, milliseconds(150), false, is_gang}));
            system.run_for(milliseconds(delay));
            system.take_over();
            system.run_for(seconds(20));
            CHECK(system.phase_of(job_id("job")) == job_phase::completed);
            for (const auto& violation : system.violations()) {
                FAIL_CHECK(violation);
            }
        }
    }
}

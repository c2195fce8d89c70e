#pragma once

// One run: submissions, cancellations and configuration changes under faults, then the checks of
// a system without faults.

#include <memory>
#include <string>

#include "faults.hpp"

namespace tanagerpaddle::soak {

struct run_result {
    // Empty if no invariant was violated.
    std::string violation;
    std::vector<std::string> last_lines;
    std::uint64_t steps = 0;
    std::uint64_t messages = 0;
    std::uint64_t trace_hash = 0;
    milliseconds virtual_time{0};
    // Virtual time from the end of all faults to the end of the last job.
    milliseconds settled_after{0};
    std::size_t jobs = 0;
    std::map<std::string, std::uint64_t> faults;
    run_counts tasks;
};

class scenario {
public:
    explicit scenario(const world_options& options);
    // Runs to the end or to the first violation.
    [[nodiscard]] run_result run();

private:
    struct submitted_job {
        job_declaration declaration;
        bool is_accepted = false;
        bool can_run = true;
    };

    void run_all();
    void step();
    void work();
    void submit_random();
    submitted_job make_job();
    void submit(submitted_job job);
    void cancel_wave();
    // Two operators read the same version and change the drains.
    void race_of_operators();
    // Repeated until the table has it: the given domains are drained.
    void set_drains(std::vector<failure_domain_id> drained);
    bool apply(const std::optional<table_row>& seen, std::vector<failure_domain_id> drained,
               const std::string& who);
    void check_configuration_in_force();
    void check_urgent_starts();
    void check_nothing_is_lost();
    void check_all_is_free();
    void run_for(milliseconds duration);
    [[nodiscard]] std::size_t active_jobs();

    world w_;
    fault_source faults_;
    random_source random_;
    bool has_faults_ = false;
    bool is_changing_ = false;
    std::map<job_id, submitted_job> jobs_;
    std::size_t next_job_ = 0;
    std::uint64_t next_document_ = 0;
    std::string last_row_;
    milliseconds changed_at_{0};
    milliseconds settled_after_{0};
};

}  // namespace tanagerpaddle::soak

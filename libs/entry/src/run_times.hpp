#pragma once

#include "tanagerpaddle/placement.hpp"
#include "tanagerpaddle/scheduling.hpp"

namespace tanagerpaddle {

// Gives the scheduler the run times that were learned from finished tasks.
class estimated_run_times final : public run_time_estimator {
public:
    [[nodiscard]] milliseconds estimate(const job_declaration& job) const override {
        return learned_.estimate(job.id, job.team, job.run_time);
    }
    void observe(const job_declaration& job, milliseconds run_time) override {
        learned_.note_finished(job.id, job.team, job.run_time, run_time);
    }

private:
    learned_run_times learned_;
};

}  // namespace tanagerpaddle

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
        learned_.record_completion(job.id, job.team, job.run_time, run_time);
    }

private:
    run_time_model learned_;
};

}  // namespace tanagerpaddle

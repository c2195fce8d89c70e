#pragma once

// Measured run times of tasks by image, and the estimates that follow from them.

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// Estimates the run time of a task from successful runs of its image. The mean of the measured runs
// is scaled by a power of the declared run time's ratio to the image's usual one. The exponent is
// learned: 1 where declared run times tell the sizes of jobs apart, 0 where they are noise.
class run_times {
public:
    // Number of images kept; an image takes some 300 bytes.
    static constexpr std::size_t max_images = 512;
    // Runs below which an image has no estimate: the mean of five runs that differ by a factor of 2
    // is within a third of the true one.
    static constexpr std::uint64_t min_runs = 5;

    // `measured` is the time from the begin of a run to its success, `declared` the run time that
    // its step declares. An image beyond max_images replaces the one recorded the longest ago.
    void record(const std::string& image, milliseconds declared, milliseconds measured,
                instant now);
    // Estimated run time of a task; nullopt with fewer than min_runs runs of the image.
    [[nodiscard]] std::optional<milliseconds> estimate(const std::string& image,
                                                       milliseconds declared) const;

    // What is known of an image: number of runs, and when the latest was recorded.
    struct coverage {
        std::uint64_t runs = 0;
        instant recorded_at;
    };
    [[nodiscard]] std::optional<coverage> coverage_of(const std::string& image) const;
    [[nodiscard]] std::size_t images() const noexcept { return history_by_image_.size(); }

private:
    // Number of recent declared run times that are compared to count jobs: the tasks of one job
    // declare the same.
    static constexpr std::size_t recent_count = 8;

    // Means and centred second moments over the image's runs, with older runs weighing less.
    struct history {
        std::uint64_t runs = 0;
        double weight = 0;
        double mean_ms = 0;
        double mean_log_declared = 0;
        double mean_log_measured = 0;
        double variance_declared = 0;
        double covariance = 0;
        // Number of jobs that the runs belong to, approximately.
        double jobs = 0;
        std::array<milliseconds, recent_count> recent{};
        std::size_t next_recent = 0;
        instant recorded_at;
        std::uint64_t order = 0;
    };

    [[nodiscard]] static double exponent(const history& seen);
    static void count_job(history& seen, milliseconds declared);

    std::map<std::string, history> history_by_image_;
    // Images in the order of their latest record.
    std::map<std::uint64_t, std::string> images_by_order_;
    std::uint64_t next_order_ = 0;
};

}  // namespace tanagerpaddle::dispatch

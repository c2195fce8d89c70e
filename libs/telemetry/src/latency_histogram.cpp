#include <algorithm>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <numeric>
#include <tuple>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

namespace {

namespace bh = boost::histogram;

constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 1e2;
constexpr int bins_per_decade = 20;
constexpr int decades = 6;
constexpr int bin_count = bins_per_decade * decades;
// Prometheus gets five buckets a decade, which keeps the exposition short.
constexpr int bins_per_bucket = 4;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
// Atomic bins rather than a histogram for each thread: a record costs one relaxed increment, all
// threads share a series however short they live, and memory does not grow with their number.
using atomic_storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using atomic_histogram = bh::histogram<std::tuple<log_axis>, atomic_storage>;

}  // namespace

struct latency_histogram::bins {
    atomic_histogram histogram{
        std::make_tuple(log_axis(bin_count, lowest_seconds, highest_seconds)), atomic_storage{}};

    // Bin -1 holds records below the axis, bin_count those above.
    [[nodiscard]] std::uint64_t at(int bin) const { return histogram.at(bin).load(); }

    [[nodiscard]] static double upper_bound(int bin) {
        return lowest_seconds * std::pow(10.0, static_cast<double>(bin + 1) / bins_per_decade);
    }
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::nanoseconds latency) noexcept {
    const auto nanoseconds = std::max<std::int64_t>(0, latency.count());
    bins_->histogram(static_cast<double>(nanoseconds) * 1e-9);
    sum_ns_.fetch_add(nanoseconds, std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const noexcept {
    std::uint64_t total = 0;
    for (int bin = -1; bin <= bin_count; ++bin) {
        total += bins_->at(bin);
    }
    return total;
}

double latency_histogram::sum() const noexcept {
    return static_cast<double>(sum_ns_.load(std::memory_order_relaxed)) * 1e-9;
}

double latency_histogram::quantile(double q) const {
    std::vector<std::uint64_t> counts;
    for (int bin = -1; bin <= bin_count; ++bin) {
        counts.push_back(bins_->at(bin));
    }
    const std::uint64_t total = std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    if (total == 0) {
        return 0;
    }
    const double rank =
        std::max(1.0, std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(total)));
    double below = 0;
    int bin = -1;
    for (const std::uint64_t here : counts) {
        const auto records = static_cast<double>(here);
        if (here > 0 && below + records >= rank) {
            if (bin < 0 || bin == bin_count) {
                return bin < 0 ? lowest_seconds : highest_seconds;
            }
            // Interpolates on the logarithmic axis within the bin.
            const double share = (rank - below) / records;
            return bins::upper_bound(bin - 1) * std::pow(10.0, share / bins_per_decade);
        }
        below += records;
        ++bin;
    }
    return highest_seconds;
}

std::vector<latency_histogram::bucket> latency_histogram::buckets(std::uint64_t& total) const {
    std::vector<bucket> result;
    std::uint64_t cumulative = bins_->at(-1);
    result.push_back({lowest_seconds, cumulative});
    for (int bin = 0; bin < bin_count; ++bin) {
        cumulative += bins_->at(bin);
        if ((bin + 1) % bins_per_bucket == 0) {
            result.push_back({bins::upper_bound(bin), cumulative});
        }
    }
    total = cumulative + bins_->at(bin_count);
    return result;
}

}  // namespace tanagerpaddle

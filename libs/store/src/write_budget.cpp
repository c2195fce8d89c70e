#include <algorithm>

#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle {

write_budget::write_budget(const clock& time, double rows_per_second, double burst_rows,
                           double urgent_reserve)
    : time_(time),
      rows_per_second_(rows_per_second),
      burst_rows_(burst_rows),
      urgent_reserve_(urgent_reserve),
      tokens_(burst_rows),
      refilled_at_(time.now()) {}

bool write_budget::try_take(std::size_t rows, bool is_urgent) {
    const instant now = time_.now();
    const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    tokens_ = std::min(burst_rows_, tokens_ + seconds * rows_per_second_);
    const double floor = is_urgent ? 0 : urgent_reserve_;
    const double wanted = std::min(static_cast<double>(rows), burst_rows_ - floor);
    if (tokens_ - wanted < floor) {
        return false;
    }
    tokens_ -= static_cast<double>(rows);
    return true;
}

}  // namespace tanagerpaddle

#include "tanagerpaddle/membership.hpp"

namespace tanagerpaddle {

pause_detector::pause_detector(milliseconds max_call_gap, milliseconds grace)
    : max_call_gap_(max_call_gap), grace_(grace) {}

void pause_detector::observe(instant now) {
    if (last_ && now - *last_ > max_call_gap_) {
        ++pauses_;
        excluded_time_ += now - *last_ + grace_;
    }
    if (!last_ || now > *last_) {
        last_ = now;
    }
}

}  // namespace tanagerpaddle

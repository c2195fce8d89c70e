#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

bool resources::fits_in(const resources& capacity) const noexcept {
    return processors <= capacity.processors && memory <= capacity.memory &&
           accelerators <= capacity.accelerators;
}

bool resources::is_non_negative() const noexcept {
    return processors.value() >= 0 && memory.value() >= 0 && accelerators.value() >= 0;
}

resources& resources::operator+=(const resources& other) noexcept {
    processors = millicores(processors.value() + other.processors.value());
    memory = mebibytes(memory.value() + other.memory.value());
    accelerators = accelerator_count(accelerators.value() + other.accelerators.value());
    return *this;
}

resources& resources::operator-=(const resources& other) noexcept {
    processors = millicores(processors.value() - other.processors.value());
    memory = mebibytes(memory.value() - other.memory.value());
    accelerators = accelerator_count(accelerators.value() - other.accelerators.value());
    return *this;
}

std::string to_string(const resources& amount) {
    return std::to_string(amount.processors.value()) + "m " +
           std::to_string(amount.memory.value()) + "MiB " +
           std::to_string(amount.accelerators.value()) + "acc";
}

}  // namespace tanagerpaddle

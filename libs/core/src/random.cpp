#include <xxhash.h>

#include <array>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

std::uint64_t random_source::below(std::uint64_t bound) {
    if (bound == 0) {
        return 0;
    }
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double random_source::unit() {
    constexpr int mantissa_bits = 53;
    return static_cast<double>(engine_() >> (64 - mantissa_bits)) /
           static_cast<double>(1ULL << mantissa_bits);
}

std::string random_source::token() {
    return to_hex(engine_());
}

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::uint64_t hash_bytes(std::string_view bytes) noexcept {
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string to_hex(std::uint64_t value) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[value & 0xF];
        value >>= 4;
    }
    return text;
}

partition_number partition_of(std::string_view id, std::uint32_t count) noexcept {
    return partition_number(static_cast<std::uint32_t>(hash_bytes(id) % count));
}

std::uint64_t rendezvous_weight(std::string_view node, std::string_view key) {
    std::string joined;
    joined.reserve(node.size() + key.size() + 1);
    joined.append(node).push_back('\0');
    joined.append(key);
    return hash_bytes(joined);
}

}  // namespace tanagerpaddle

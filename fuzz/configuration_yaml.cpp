// Any text is either rejected with a numbered error or gives a configuration that, if it is valid,
// survives printing and parsing unchanged.

#include "tanagerpaddle/config.hpp"

using namespace tanagerpaddle;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    configuration declared;
    try {
        declared = from_yaml({reinterpret_cast<const char*>(data), size}, "fuzz");
    } catch (const error& e) {
        check_invariant(e.code() == result_code::invalid_configuration, e.what());
        return 0;
    }
    // Also with duplicate ids, which only validate() rejects.
    static_cast<void>(diff(declared, declared));
    if (validate(declared).empty()) {
        const std::string text = to_yaml(declared);
        check_invariant(from_yaml(text, "printed") == declared, "the round trip is exact: " + text);
        check_invariant(diff(declared, declared).empty(), "no difference from itself: " + text);
    }
    return 0;
}

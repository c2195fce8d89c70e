// Any text is either rejected with all its problems or gives settings that pass their own checks.

#include "tanagerpaddle/settings.hpp"

using namespace tanagerpaddle;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    // The first line doubles as an override, so that both ways of setting a key are covered.
    const std::string first_line = text.substr(0, text.find('\n'));
    for (const auto& overrides :
         {std::vector<std::string>{}, std::vector<std::string>{first_line}}) {
        try {
            settings values = parse_settings(overrides.empty() ? text : "", "fuzz", overrides);
            apply_override(values, "log.level=info");
            check_invariant(!values.id.empty() && values.max_body_bytes > 0,
                            "accepted settings are within their ranges");
        } catch (const settings_error& e) {
            check_invariant(!e.problems().empty(), "a rejection names its problems");
        }
    }
    return 0;
}

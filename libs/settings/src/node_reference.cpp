// The section on tanagerpaddle-node of docs/settings.md.

#include <array>

#include "settings_internal.hpp"

namespace tanagerpaddle::settings_detail {

namespace {

struct node_key {
    std::string_view key;
    std::string_view default_value;
    std::string_view allowed;
    std::string_view meaning;
};

constexpr std::array node_keys{
    node_key{"scheduling.off_rack_factor", "1", "1 to 100",
             "Run time of a task off its preferred rack, or of a step on a single rack whose tasks "
             "span racks, as a multiple of that on it; 1 turns waiting for racks off. See "
             "docs/design/delay-scheduling.md."},
};

}  // namespace

std::string node_reference() {
    std::string text =
        "\n## Node settings\n\n"
        "Keys of the file of `tanagerpaddle-node` that need not be set. A missing key has its\n"
        "default, an unknown one is ignored, and another value is an error. All processes of a\n"
        "deployment use the same values; a change needs a restart.\n\n"
        "| key | default | allowed | meaning |\n"
        "| --- | --- | --- | --- |\n";
    for (const auto& row : node_keys) {
        text += "| `" + std::string(row.key) + "` | `" + std::string(row.default_value) + "` | " +
                std::string(row.allowed) + " | " + std::string(row.meaning) + " |\n";
    }
    return text;
}

}  // namespace tanagerpaddle::settings_detail

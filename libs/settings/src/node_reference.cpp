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
    node_key{"scheduling.long_running_reservation", "true", "true, false",
             "Long-running tasks go before others of their priority, and an instance is reserved "
             "for one that has had no run for 1 s; see docs/design/long-running-capacity.md."},
    node_key{"scheduling.shares", "true", "true, false",
             "Among steps of the same priority and rank, the queue with the smallest share of its "
             "service in use goes first; see docs/design/fair-shares.md."},
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

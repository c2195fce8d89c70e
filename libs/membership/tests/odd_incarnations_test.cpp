// Rows that name an incarnation of an entry that never ran.

#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

// Guards against an entry that counts as replaced for good since its row once named another
// incarnation.
TEST_CASE("an entry is heard again after its row named an incarnation that never ran") {
    for (const std::uint64_t incarnation : {0ULL, 2ULL, 0xFFFF'FFFF'FFFF'FFFFULL}) {
        INFO("incarnation ", incarnation);
        entry_directory directory(entry("a"));
        directory.set_registered({entry("b", 1)}, at(0));
        directory.record_heartbeat(entry("b", 1), at(1'000));
        directory.set_registered({entry("b", incarnation)}, at(2'000));
        for (int ms = 3'000; ms <= 21'000; ms += 2'000) {
            INFO("ms ", ms);
            directory.record_heartbeat(entry("b", 1), at(ms));
            // The odd row stays until the entry writes its own again.
            directory.set_registered({entry("b", ms < 12'000 ? incarnation : 1)}, at(ms));
            CHECK(directory.live(at(ms)) == std::vector{entry("a"), entry("b", 1)});
        }
    }
}

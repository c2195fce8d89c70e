#include "../src/index_set.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "tanagerpaddle/core.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

TEST_CASE("an index set behaves as a set, and keeps as few ranges as it can") {
    random_source random(1);
    index_set indices;
    std::set<std::uint32_t> expected;
    for (int i = 0; i < 5'000; ++i) {
        const auto index = static_cast<std::uint32_t>(random.below(40));
        if (random.chance(0.5)) {
            CHECK(indices.insert(index) == expected.insert(index).second);
        } else {
            CHECK(indices.erase(index) == (expected.erase(index) == 1));
        }
        CHECK(std::equal(indices.begin(), indices.end(), expected.begin(), expected.end()));
        CHECK(indices.size() == expected.size());
        CHECK(indices.contains(index) == expected.contains(index));
        CHECK(indices.count_below(index) == static_cast<std::size_t>(std::distance(
                                                expected.begin(), expected.lower_bound(index))));
        auto absent = index;
        while (expected.contains(absent)) {
            ++absent;
        }
        CHECK(indices.first_absent(index) == absent);
        for (std::size_t r = 1; r < indices.ranges().size(); ++r) {
            CHECK(indices.ranges()[r - 1].end < indices.ranges()[r].begin);
        }
    }
}

TEST_CASE("ranges that are appended join") {
    index_set indices = index_set::first(3);
    indices.append(3, 5);
    indices.append(5, 5);
    indices.append(7, 8);
    CHECK(indices.ranges() == std::vector<index_set::range>{{0, 5}, {7, 8}});
    CHECK(indices == index_set{7, 4, 3, 2, 1, 0});
}

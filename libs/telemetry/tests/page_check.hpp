#pragma once

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace tanagerpaddle::testing {

inline std::string page_path(const std::string& page) {
    return std::string(TANAGERPADDLE_SOURCE_DIR) + "/docs/" + page;
}

inline std::string read_page(const std::string& page) {
    std::ifstream file(page_path(page), std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

// The committed page. With TANAGERPADDLE_UPDATE_PAGES=1 in the environment, writes `expected` to it
// first.
inline std::string committed_page(const std::string& page, const std::string& expected) {
    const char* update = std::getenv("TANAGERPADDLE_UPDATE_PAGES");
    if (update != nullptr && std::string(update) == "1") {
        std::ofstream(page_path(page), std::ios::binary | std::ios::trunc) << expected;
    }
    return read_page(page);
}

}  // namespace tanagerpaddle::testing

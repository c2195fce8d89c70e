// The operators' command-line tool of tanagerpaddle.

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "command.hpp"

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    const char* entry = std::getenv("TANAGERPADDLE_ENTRY");
    return tanagerpaddle::ctl::run_program(arguments, entry != nullptr ? entry : "",
                                           {std::cin, std::cout, std::cerr});
}

#pragma once

// A small deployment on loopback addresses: the platform's store, executors, and the project's own
// programs as processes of their own, started with the commands of the deploy file.

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "executor.hpp"
#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

// A queue of the operator's configuration.
struct route {
    std::string host;
    std::string path_prefix;
    int priority = 0;
    std::uint32_t max_attempts = 2;
    // Starts need tickets of the policy service.
    bool has_advice = false;
};

class deployment {
public:
    struct options {
        std::size_t entries = 3;
        std::size_t executors = 11;
        std::string service = "huvo11a";
        std::vector<route> routes = {{"nony24.example", "/lohu930/"}};
        // The policy service: the ids that may run the step, of those asked for.
        std::function<std::vector<std::string>(const std::string& step,
                                               const std::vector<std::string>& ids)>
            advise;
    };

    // Throws std::runtime_error if the deployment is not ready within 20 s.
    deployment(const options& settings, record& log);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    // The operator stores a configuration with these routes.
    void configure(const std::vector<route>& routes);

    // Requests of a requester, which turns to the next entry after each answer that allows that.
    // True once a POST was answered with 2xx.
    [[nodiscard]] bool submit(const route& queue, const std::string& job,
                              const nlohmann::json& body);
    [[nodiscard]] http_response ask(const std::string& method, const route& queue,
                                    const std::string& job);
    // The state in the answer to a GET, or its status if it is another than 200.
    [[nodiscard]] std::string state_of(const route& queue, const std::string& job);

    [[nodiscard]] std::vector<std::unique_ptr<executor>>& executors() { return executors_; }
    [[nodiscard]] executor& executor_named(const std::string& name);

private:
    struct process {
        pid_t id = -1;
        std::string name;
    };

    [[nodiscard]] http_response advise(const http_request& request);
    [[nodiscard]] process start_program(const std::string& role, const std::string& name,
                                        const nlohmann::json& settings);

    options settings_;
    record& log_;
    std::string folder_;
    std::uint16_t store_port_;
    std::unique_ptr<store> store_;
    std::uint16_t advice_port_;
    std::unique_ptr<http_server> advice_;
    std::vector<std::uint16_t> callers_;
    std::vector<std::uint16_t> readiness_;
    std::vector<process> processes_;
    std::vector<std::unique_ptr<executor>> executors_;
    std::uint64_t version_ = 0;
    std::size_t next_entry_ = 0;
};

// Whether the disruption takes place: not with TROUBLE=0.
[[nodiscard]] bool has_trouble();

// Exit codes of a case.
enum verdict { held = 0, broken = 1, could_not_run = 2 };
// Runs `body`, and returns could_not_run if it throws.
[[nodiscard]] int run_case(int argc, char** argv, verdict (*body)(record&));

}  // namespace review

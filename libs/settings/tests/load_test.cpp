#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "tanagerpaddle/settings.hpp"

using namespace tanagerpaddle;

namespace {

// The rejection's text, or "accepted".
std::string rejection(const std::string& text, const std::vector<std::string>& overrides = {}) {
    try {
        static_cast<void>(parse_settings(text, "test.yaml", overrides));
        return "accepted";
    } catch (const settings_error& e) {
        CHECK(e.code() == result_code::invalid_settings);
        return e.what();
    }
}

struct rejected_text {
    const char* text;
    const char* expected;
};

void check_rejected(const std::vector<rejected_text>& cases) {
    for (const auto& item : cases) {
        const std::string message = rejection(item.text);
        INFO(item.text, " -> ", message, " (expected: ", item.expected, ")");
        CHECK(message.find(item.expected) != std::string::npos);
    }
}

}  // namespace

// A printed file that is rejected, or that changes a default, would break every first start.
TEST_CASE("the printed defaults of each role load unchanged") {
    for (const auto role : {process_role::entry, process_role::agent}) {
        const std::string text = print_default_settings(role);
        INFO(text);
        const settings loaded = parse_settings(text, "defaults");
        CHECK(loaded.role == role);
        CHECK(changed_keys(loaded, default_settings(role)).empty());
    }
}

// A mistyped key that is ignored leaves its default in effect without notice.
TEST_CASE("a rejected key is reported with file, line, value and what is allowed") {
    check_rejected({
        {"entry:\n  callers:\n    prot: 1\n",
         "test.yaml:3: entry.callers.prot: 1 is not allowed; allowed: a known key; the nearest is "
         "entry.callers.port"},
        {"entry:\n  callers:\n    port: 70000\n",
         "test.yaml:3: entry.callers.port: 70000 is not allowed; allowed: 0 to 65535"},
        {"max_body_bytes: many\n",
         "max_body_bytes: many is not allowed; allowed: 1024 to 67108864"},
        {"max_body_bytes: 1e6\n", "max_body_bytes: 1e6"},
        {"max_body_bytes: [1]\n", "max_body_bytes: (list)"},
        {"id: ''\n", "id:  is not allowed"},
        {"id: a/b\n", "a/b is not allowed"},
        {"id: a\nid: b\n", "test.yaml:2: id: (repeated key)"},
        {"log: {level: loud}\n", "loud is not allowed; allowed: debug, info, warning, error"},
        {"trace: {sample_ratio: 1.5}\n", "trace.sample_ratio: 1.5 is not allowed; allowed: 0 to 1"},
        {"trace: {sample_ratio: nan}\n", "trace.sample_ratio: nan"},
        {"entry: {callers: {address: localhost}}\n", "an IPv4 or IPv6 address"},
        {"platform: {table_url: 'https://127.0.0.1:1'}\n", "http://<IP address>:<port>"},
        {"platform: {table_url: 'http://127.0.0.1:0'}\n", "platform.table_url"},
        {"role: agent\nagent: {entries: []}\n", "a list of 1 to 256"},
        {"role: agent\nagent: {entries: ['127.0.0.1']}\n", "agent.entries: 127.0.0.1"},
        {"entry: 3\n", "entry: (not a map)"},
        {"entry\n", "a map of keys"},
        {"id: [\n", "valid YAML"},
        {"id: a\n---\nid: b\n", "one document"},
    });
}

// Such values are allowed one by one, but the daemon would lose leases or fail to listen.
TEST_CASE("keys that contradict each other are rejected") {
    check_rejected({
        {"scheduler: {horizon_s: 40, horizon_renewal_s: 20}\n",
         "scheduler.horizon_renewal_s: 20 is not allowed; allowed: below half"},
        {"scheduler: {horizon_s: 60, worker_lease_s: 61}\n", "scheduler.worker_lease_s: 61"},
        {"scheduler: {sync_interval_ms: 3000, worker_lease_s: 3}\n", "scheduler.sync_interval_ms"},
        {"membership: {entry_expiry_ms: 3000}\n", "at least twice membership.digest_interval_ms"},
        {"entry: {callers: {port: 7301}}\n", "entry.operators.port: 7301"},
        {"entry: {callers: {port: 7301, address: 0.0.0.0}}\n", "entry.operators.port: 7301"},
        {"role: agent\nagent: {data: {port: 7401}}\n", "agent.control.port"},
        {"role: agent\nagent: {slots: 200}\n", "agent.max_requests: 128"},
        {"role: agent\nentry: {callers: {port: 1}}\n", "no value with role agent"},
        {"agent: {slots: 2}\n",
         "test.yaml:1: agent.slots: 2 is not allowed; allowed: no value "
         "with role entry"},
        {"security: {key_file: ''}\n", "security.key_file"},
        {"security: {key_file: a, previous_key_file: a}\n", "security.previous_key_file: a"},
        {"log: {file: a}\ntrace: {file: a}\n", "trace.file: a"},
    });
    CHECK(rejection("entry: {callers: {port: 0}, operators: {port: 0}}\n") == "accepted");
    CHECK(rejection("entry: {callers: {port: 7301, address: 127.0.0.2}}\n") == "accepted");
}

// Operators would otherwise restart once for each mistake.
TEST_CASE("all problems of a file are reported at once") {
    try {
        static_cast<void>(parse_settings("id: ''\nregoin: a\nlog: {level: x}\n", "test.yaml"));
        FAIL("accepted");
    } catch (const settings_error& e) {
        INFO(e.what());
        REQUIRE(e.problems().size() == 3);
        CHECK(e.problems()[0].line == 1);
        CHECK(e.problems()[1].line == 2);
        CHECK(e.problems()[2].key == "log.level");
    }
}

// Tests and the demo start several processes from one file by overriding single keys.
TEST_CASE("an override wins over the file and is checked with it") {
    CHECK(parse_settings("entry: {callers: {port: 1}}", "f", {"entry.callers.port=0"})
              .entry.callers.port == 0);
    CHECK(rejection("", {"entry.callers.port=7301"}).find("entry.operators.port") !=
          std::string::npos);
    CHECK(rejection("", {"entry.callers.port"}).find("key=value") != std::string::npos);
    CHECK(rejection("", {"entry.caller.port=1"}).find("nearest is entry.callers.port") !=
          std::string::npos);
    const settings agent = parse_settings(
        "", "f", {"role=agent", "agent.entries=127.0.0.1:1, [::1]:2", "trace.sample_ratio=0.5"});
    CHECK(agent.agent.entries == std::vector<network_address>{{"127.0.0.1", 1}, {"::1", 2}});
    CHECK(to_string(agent.agent.entries.at(1)) == "[::1]:2");

    settings values = default_settings(process_role::entry);
    apply_override(values, "scheduler.horizon_s=120");
    CHECK(values.scheduler.horizon == std::chrono::seconds(120));
    CHECK_THROWS_AS(apply_override(values, "scheduler.worker_lease_s=121"), settings_error);
    CHECK(values.scheduler.worker_lease == std::chrono::seconds(30));
}

// A variable that sets another key than it names, or an unrelated one, must not stop the daemon.
TEST_CASE("environment variables override the keys that they name") {
    const char* const environment[] = {"PATH=/bin", "TANAGERPADDLE_ENTRY_CALLERS_PORT=9",
                                       "TANAGERPADDLE_MAX_BODY_BYTES=2048", "TANAGERPADDLE_DEMO=1",
                                       nullptr};
    CHECK(environment_overrides(environment) ==
          std::vector<std::string>{"entry.callers.port=9", "max_body_bytes=2048"});
}

// Applying a key that needs a restart would leave the process half changed.
TEST_CASE("a reload takes only reloadable keys and names the others") {
    const settings current = default_settings(process_role::entry);
    const settings loaded = parse_settings("log: {level: debug}\nid: other\n", "f");
    std::vector<std::string_view> ignored;
    const settings result = reload_settings(current, loaded, ignored);
    CHECK(result.log.level == log_threshold::debug);
    CHECK(result.id == current.id);
    CHECK(ignored == std::vector<std::string_view>{"id"});
    const settings shorter =
        parse_settings("scheduler: {worker_lease_s: 60, sync_interval_ms: 8000}", "f");
    settings tight = current;
    apply_override(tight, "scheduler.worker_lease_s=5");
    CHECK_THROWS_AS(static_cast<void>(reload_settings(tight, shorter, ignored)), settings_error);
}

// A missing file must not start a daemon with defaults; a key must never appear in a message.
TEST_CASE("files that cannot be used are rejected") {
    CHECK_THROWS_WITH_AS(static_cast<void>(load_settings("no-such-directory/a.yaml")),
                         doctest::Contains("a readable file"), settings_error);
    const std::string path = "settings_load_test.key";
    for (const auto& [text, is_accepted] :
         std::vector<std::pair<std::string, bool>>{{"0123456789abcdef\n", true},
                                                   {"0123456789abcdef", true},
                                                   {"short\n", false},
                                                   {"0123456789abcdef\nsecond-line-0123\n", false},
                                                   {"0123456789 abcdef\n", false},
                                                   {std::string(600, 'k'), false}}) {
        std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
        INFO("key file of ", text.size(), " bytes");
        if (is_accepted) {
            CHECK(read_key_file(path) == "0123456789abcdef");
        } else {
            CHECK_THROWS_WITH_AS(static_cast<void>(read_key_file(path)),
                                 doctest::Contains("one line of 16 to 512"), error);
        }
    }
    std::filesystem::remove(path);
    CHECK_THROWS_AS(static_cast<void>(read_key_file(path)), error);
}

// A parser without bounds would let a damaged file exhaust memory or the stack.
TEST_CASE("hostile files are rejected within the limits") {
    CHECK(rejection(std::string(300'000, ' ')).find("at most 262144 bytes") != std::string::npos);
    CHECK(rejection(std::string(100'000, '[')).find("brackets") != std::string::npos);
    std::string many;
    for (int i = 0; i < 5'000; ++i) {
        many += "key-" + std::to_string(i) + ": 1\n";
    }
    const std::string message = rejection(many);
    CHECK(std::count(message.begin(), message.end(), '\n') == 100);
}

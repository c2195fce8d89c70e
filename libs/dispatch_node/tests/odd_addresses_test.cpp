// Rows of another writer whose address cannot be used: the other rows of the table take effect, and
// so does the next sound row under the same key.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "messages.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

const std::vector<std::string>& odd_addresses() {
    static const std::vector<std::string> texts{"",
                                                ":",
                                                "nowhere",
                                                "nowhere:80",
                                                "256.0.0.1:80",
                                                "127.0.0.1",
                                                "127.0.0.1:",
                                                "127.0.0.1:0",
                                                "127.0.0.1:-1",
                                                "127.0.0.1:65536",
                                                "127.0.0.1:18446744073709551617",
                                                "127.0.0.1:8e1",
                                                "127.0.0.1:port",
                                                "\xff\xfe:80",
                                                std::string(100'000, '[') + ":80"};
    return texts;
}

// Counts the claims of an owner.
struct fake_agent {
    fake_agent(eventio::event_loop& loop, int index)
        : address(local_endpoint(index)),
          server(loop, address, [this](const std::shared_ptr<eventio::message_link>& link) {
              return eventio::link_handlers{
                  [this, link](const std::string&) {
                      ++claims;
                      link->send(messages::dump(messages::encode(inventory{}, instant{})));
                  },
                  [] {}};
          }) {}

    eventio::endpoint address;
    int claims = 0;
    eventio::message_server server;
};

// The loop has no exception handler, so that an exception that escapes fails the test.
void run_for(eventio::event_loop& loop, milliseconds limit) {
    CHECK_NOTHROW(eventio::testing::run_for(loop, limit));
}

}  // namespace

// Guards against an owner that ends its periodic work at the row, or that never connects to the
// agent again.
TEST_CASE("an agent's row without a usable address stops neither the others nor its next row") {
    eventio::event_loop loop;
    system_clock time;
    fake_store store(loop);
    entry_node entry(loop, time, store, nullptr,
                     {"entry", "life", local_endpoint(20), millicores(1'000), {}});
    int key = 0;
    for (const auto& text : odd_addresses()) {
        store.put(agent_table, "", "agent-" + std::to_string(key++), text);
    }
    fake_agent sound(loop, 21);
    store.put(agent_table, "", "agent-sound", to_string(sound.address));
    entry.start();
    run_for(loop, milliseconds(1'000));
    CHECK(sound.claims > 0);
    // The writers of the odd rows write sound ones.
    std::vector<std::unique_ptr<fake_agent>> mended;
    for (int i = 0; i < key; ++i) {
        mended.push_back(std::make_unique<fake_agent>(loop, 22 + i));
        store.put(agent_table, "", "agent-" + std::to_string(i), to_string(mended.back()->address));
    }
    run_for(loop, milliseconds(2'000));
    for (int i = 0; i < key; ++i) {
        CAPTURE(odd_addresses()[static_cast<std::size_t>(i)].substr(0, 40));
        CHECK(mended[static_cast<std::size_t>(i)]->claims > 0);
    }
    CHECK(entry.is_owner());
}

// Guards against an entry that cannot connect to any later owner.
TEST_CASE("an owner's row without a usable address does not stop the link to the next owner") {
    for (const auto& text : odd_addresses()) {
        if (text.starts_with('\xff')) {
            continue;  // no JSON text holds these bytes
        }
        CAPTURE(text.substr(0, 40));
        eventio::event_loop loop;
        system_clock time;
        fake_store store(loop);
        const owner_record odd{"other", "life", text, epoch_number(4), false, millicores(1'000)};
        store.put(owner_table, owner_part, "owner", encode(odd));
        entry_node entry(loop, time, store, nullptr,
                         {"entry", "life", local_endpoint(50), millicores(1'000), {}});
        entry.start();
        run_for(loop, milliseconds(300));
        fake_agent next(loop, 51);
        auto record = odd;
        record.address = to_string(next.address);
        store.put(owner_table, owner_part, "owner", encode(record));
        run_for(loop, milliseconds(700));
        CHECK(next.claims > 0);
    }
}

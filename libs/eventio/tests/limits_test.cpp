// Tests the bounds on what clients can make a process hold: first the decisions alone, then over
// the loopback interface.

#include "limits.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>

#include <array>

#include "loop_support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::eventio;
using tanagerpaddle::eventio::testing::local_endpoint;
using tanagerpaddle::eventio::testing::run_for;
using tanagerpaddle::eventio::testing::run_until;

namespace {

constexpr milliseconds limit{5'000};
constexpr int first_port = 40;
constexpr int small_buffer = 16'384;

instant at(std::int64_t ms) {
    return instant{} + milliseconds(ms);
}

// A client that sends and reads bytes as told, on a socket that never blocks.
class raw_client {
public:
    // A socket grows its send buffer to megabytes unless `send_buffer_bytes` is set.
    explicit raw_client(const endpoint& peer, int send_buffer_bytes = 0)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        if (send_buffer_bytes > 0) {
            REQUIRE(::setsockopt(socket_, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes,
                                 sizeof send_buffer_bytes) == 0);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        ::inet_pton(AF_INET, peer.host.c_str(), &address.sin_addr);
        REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
                0);
    }
    ~raw_client() { ::close(socket_); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    // Sends what the peer takes at once; returns the number of bytes.
    std::size_t send(const std::string& text) {
        const auto sent = ::send(socket_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    // What has arrived so far.
    const std::string& read() {
        std::array<char, 4'096> part{};
        ssize_t size = 0;
        while ((size = ::recv(socket_, part.data(), part.size(), MSG_DONTWAIT)) > 0) {
            received_.append(part.data(), static_cast<std::size_t>(size));
        }
        is_closed_ = is_closed_ || size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return received_;
    }

    bool has_read(const std::string& text) { return read().find(text) != std::string::npos; }

    bool is_closed() {
        read();
        return is_closed_;
    }

private:
    int socket_;
    std::string received_;
    bool is_closed_ = false;
};

void answer_ok(const http_request& /*request*/, const http_responder& respond) {
    respond({200, "ok", {}});
}

std::string post(const std::string& fields) {
    return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

// Sends `part` until the server answers with `status`; the check fails if it takes 2 MiB of them.
void check_refused(event_loop& loop, raw_client& client, const std::string& part,
                   const std::string& status) {
    constexpr std::size_t max_taken = 2U << 20U;
    std::size_t taken = 0;
    const bool is_refused = run_until(loop, limit, [&] {
        for (std::size_t sent = 1; sent > 0 && taken < max_taken; taken += sent) {
            sent = client.send(part.substr(taken % part.size()));
        }
        return taken >= max_taken || client.has_read(status) || client.is_closed();
    });
    CHECK(is_refused);
    CHECK(taken < max_taken);
    CHECK(client.has_read(status));
}

}  // namespace

// Guards against slow senders that keep ordinary callers out of a full listener.
TEST_CASE("a full pool closes the connection that has waited longest, and none that is handled") {
    connection_pool pool("a", 3);
    std::vector<int> closed;
    std::array<connection_number, 3> ids;
    for (int i = 0; i < 3; ++i) {
        ids.at(static_cast<std::size_t>(i)) =
            pool.add(at(i), [&closed, i] { closed.push_back(i); });
    }
    pool.set_phase(ids[0], connection_phase::handling, at(10));
    pool.set_phase(ids[1], connection_phase::reading, at(11));
    CHECK(pool.make_room());
    CHECK(closed == std::vector{2});
    const auto late = pool.add(at(20), [&closed] { closed.push_back(3); });
    pool.set_phase(late, connection_phase::writing, at(21));
    CHECK(pool.make_room());
    CHECK(closed == std::vector{2, 1});
    (void)pool.add(at(30), [&closed] { closed.push_back(4); });
    pool.set_phase(late, connection_phase::handling, at(31));
    CHECK(pool.make_room());
    CHECK(closed == std::vector{2, 1, 4});
    const auto last = pool.add(at(40), [] {});
    pool.set_phase(last, connection_phase::handling, at(41));
    CHECK_FALSE(pool.make_room());
    CHECK(pool.counts().connections == 3);
    CHECK(pool.counts().refused == 3);
}

// Guards against a budget that refuses the small request of an ordinary caller because large ones
// have used it up.
TEST_CASE("a byte budget that is exceeded releases the largest holder that may be released") {
    byte_budget budget(100);
    std::vector<char> released;
    const auto handled = budget.add([&] { released.push_back('h'); });
    const auto large = budget.add([&] { released.push_back('l'); });
    const auto small = budget.add([&] { released.push_back('s'); });
    budget.set(handled, 50, false);
    budget.set(large, 40, true);
    budget.set(small, 20, true);
    CHECK(released == std::vector{'l'});
    CHECK(budget.held() == 70);
    budget.set(small, 60, true);
    CHECK(released == std::vector{'l', 's'});
    CHECK(budget.held() == 50);
    budget.remove(handled);
    CHECK(budget.held() == 0);
    CHECK(budget.released() == 2);
}

// Guards against listeners that use up the descriptors together.
TEST_CASE("listeners share the descriptors that are not reserved") {
    process_limits limits;
    CHECK(capacity_of(limits, 4'096, listener_share(150), 2'000) == 584);
    CHECK(capacity_of(limits, 4'096, listener_share(500), 2'000) == 1'000);
    CHECK(capacity_of(limits, 4'096, listener_share(500), 700) == 700);
    CHECK(capacity_of(limits, 100, listener_share(500), 2'000) == 4);
}

// Guards against a process that is ended by one client: neither had a bound.
TEST_CASE("trailers and chunk extensions without end are refused with status 413") {
    event_loop loop;
    http_server server(loop, local_endpoint(first_port), {}, answer_ok);
    const std::string chunked = post("Transfer-Encoding: chunked\r\n");
    SUBCASE("trailers") {
        raw_client client(local_endpoint(first_port), small_buffer);
        client.send(chunked + "1\r\nx\r\n0\r\n");
        check_refused(loop, client, "A: " + std::string(1'000, 'b') + "\r\n", " 413 ");
    }
    SUBCASE("an extension") {
        raw_client client(local_endpoint(first_port), small_buffer);
        client.send(chunked + "1;");
        check_refused(loop, client, std::string(1'000, 'e'), " 413 ");
    }
    SUBCASE("extensions of many chunks") {
        http_server_options options;
        options.max_body_bytes = 1'000;
        http_server small(loop, local_endpoint(first_port + 1), options, answer_ok);
        raw_client client(local_endpoint(first_port + 1), small_buffer);
        client.send(chunked);
        check_refused(loop, client, "1;" + std::string(1'000, 'e') + "\r\nx\r\n", " 413 ");
    }
}

// Guards against limits that refuse what is promised.
TEST_CASE("a request of the promised size is served, also in chunks of a byte") {
    constexpr std::size_t promised_body = 262'144;
    event_loop loop;
    std::size_t received = 0;
    http_server_options options;
    options.max_body_bytes = promised_body;
    http_server server(loop, local_endpoint(first_port + 2), options,
                       [&](const http_request& request, const http_responder& respond) {
                           received = request.body.size();
                           respond({200, "ok", {}});
                       });
    std::string request = post("Transfer-Encoding: chunked\r\n");
    const std::string header_end = "\r\n";
    request.insert(request.size() - header_end.size(),
                   "A: " + std::string(16'384 - request.size() - 5, 'h') + "\r\n");
    REQUIRE(request.size() == 16'384);
    for (std::size_t i = 0; i < promised_body; ++i) {
        request += "1\r\nx\r\n";
    }
    request += "0\r\n\r\n";
    raw_client client(local_endpoint(first_port + 2));
    std::size_t sent = 0;
    CHECK(run_until(loop, limit, [&] {
        for (std::size_t part = 1; part > 0 && sent < request.size(); sent += part) {
            part = client.send(request.substr(sent, 65'536));
        }
        // The step of run_until is long; the bytes that fit into the buffers are few.
        loop.post([] {});
        return client.has_read(" 200 ");
    }));
    CHECK(received == promised_body);
}

// Guards against clients that hold connections by sending a byte now and then.
TEST_CASE("a header and a body have a time limit of their own") {
    event_loop loop;
    http_server_options options;
    options.header_timeout = milliseconds(200);
    options.body_timeout = milliseconds(300);
    options.idle_timeout = milliseconds(60'000);
    http_server server(loop, local_endpoint(first_port + 3), options, answer_ok);
    raw_client header(local_endpoint(first_port + 3));
    raw_client body(local_endpoint(first_port + 3));
    raw_client idle(local_endpoint(first_port + 3));
    header.send("GET ");
    body.send(post("Content-Length: 1000\r\n"));
    CHECK(run_until(loop, limit, [&] {
        header.send("x");
        body.send("x");
        return header.is_closed() && body.is_closed();
    }));
    CHECK_FALSE(idle.is_closed());
}

// Guards against memory that is used up by bodies that are never completed.
TEST_CASE("large bodies that exceed the budget are refused, and a small request is served") {
    event_loop loop;
    process_limits limits;
    limits.request_bytes = 400'000;
    loop.set_limits(limits);
    int handled = 0;
    http_server server(loop, local_endpoint(first_port + 4), {},
                       [&](const http_request&, const http_responder& respond) {
                           ++handled;
                           respond({200, "ok", {}});
                       });
    std::vector<std::unique_ptr<raw_client>> holders;
    for (int i = 0; i < 5; ++i) {
        holders.push_back(std::make_unique<raw_client>(local_endpoint(first_port + 4)));
        holders.back()->send(post("Content-Length: 100000\r\n"));
    }
    const std::string part(10'000, 'x');
    std::vector<std::size_t> sent(holders.size());
    std::size_t refused = 0;
    CHECK(run_until(loop, limit, [&] {
        refused = 0;
        for (std::size_t i = 0; i < holders.size(); ++i) {
            if (sent[i] < 9 * part.size()) {
                sent[i] += holders[i]->send(part);
            }
            refused += holders[i]->has_read(" 503 ") && holders[i]->has_read("Retry-After: ");
        }
        return refused > 0;
    }));
    CHECK(refused < holders.size());
    CHECK(handled == 0);
    raw_client ordinary(local_endpoint(first_port + 4));
    ordinary.send(post("Content-Length: 3\r\n") + "abc");
    CHECK(run_until(loop, limit, [&] { return ordinary.has_read(" 200 "); }));
    CHECK(loop.count_released().released_requests >= refused);
}

// Guards against a flood of connections that keeps ordinary callers out until they time out.
TEST_CASE("a full listener makes room for a new caller and counts what it closed") {
    event_loop loop;
    http_server_options options;
    options.name = "callers";
    options.max_connections = 5;
    http_server server(loop, local_endpoint(first_port + 5), options, answer_ok);
    std::vector<std::unique_ptr<raw_client>> slow;
    for (int i = 0; i < 20; ++i) {
        slow.push_back(std::make_unique<raw_client>(local_endpoint(first_port + 5)));
        slow.back()->send("POST");
    }
    run_for(loop, milliseconds(100));
    raw_client ordinary(local_endpoint(first_port + 5));
    ordinary.send(post("Content-Length: 3\r\n") + "abc");
    CHECK(run_until(loop, limit, [&] { return ordinary.has_read(" 200 "); }));
    REQUIRE(loop.count_connections().size() == 1);
    const auto counts = loop.count_connections().front();
    CHECK(counts.name == "callers");
    CHECK(counts.connections == 5);
    CHECK(counts.refused == 16);
}

// Guards against memory that is taken by the announced length of a message: it was 8 MiB for four
// bytes.
TEST_CASE("a link holds memory for the bytes that have arrived, and the largest is closed") {
    event_loop loop;
    process_limits limits;
    limits.message_bytes = 200'000;
    loop.set_limits(limits);
    std::vector<std::string> received;
    message_server server(
        loop, local_endpoint(first_port + 6), [&](const std::shared_ptr<message_link>&) {
            return link_handlers{[&received](const std::string& text) { received.push_back(text); },
                                 [] {}};
        });
    const std::string announced{'\0', '\x7f', '\0', '\0'};
    std::vector<std::unique_ptr<raw_client>> announcing;
    for (int i = 0; i < 8; ++i) {
        announcing.push_back(std::make_unique<raw_client>(local_endpoint(first_port + 6)));
        announcing.back()->send(announced + "x");
    }
    run_for(loop, milliseconds(100));
    for (const auto& each : announcing) {
        CHECK_FALSE(each->is_closed());
    }
    raw_client large(local_endpoint(first_port + 6));
    large.send(announced);
    CHECK(run_until(loop, limit, [&] {
        large.send(std::string(16'384, 'x'));
        return large.is_closed();
    }));
    raw_client ordinary(local_endpoint(first_port + 6));
    ordinary.send(std::string{'\0', '\0', '\0', '\x02'} + "ok");
    CHECK(run_until(loop, limit, [&] { return !received.empty(); }));
    CHECK(received == std::vector<std::string>{"ok"});
    CHECK(loop.count_released().released_messages == 1);
}

// Guards against strangers that keep a node's own links out of a full listener.
TEST_CASE("a full listener for messages closes strangers before links in use") {
    event_loop loop;
    process_limits limits;
    limits.max_connections = 5;
    loop.set_limits(limits);
    std::size_t received = 0;
    message_server server(
        loop, local_endpoint(first_port + 7), [&](const std::shared_ptr<message_link>&) {
            return link_handlers{[&received](const std::string&) { ++received; }, [] {}};
        });
    raw_client own(local_endpoint(first_port + 7));
    const std::string message = std::string{'\0', '\0', '\0', '\x02'} + "ok";
    own.send(message);
    CHECK(run_until(loop, limit, [&] { return received == 1; }));
    std::vector<std::unique_ptr<raw_client>> strangers;
    for (int i = 0; i < 20; ++i) {
        strangers.push_back(std::make_unique<raw_client>(local_endpoint(first_port + 7)));
        strangers.back()->send(std::string(1, '\0'));
    }
    run_for(loop, milliseconds(200));
    own.send(message);
    CHECK(run_until(loop, limit, [&] { return received == 2; }));
    CHECK(loop.count_connections().front().connections == 5);
}

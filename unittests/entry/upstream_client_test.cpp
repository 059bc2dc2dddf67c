// upstream_client against an upstream on loopback with scripted responses.
#include "galenarudder/proxy/upstream_client.hpp"

#include "dialect.hpp"
#include "galenarudder/link/message.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

namespace galenarudder::proxy {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using support::monotonic_clock;
using support::refusal_kind;
using support::run_outcome;

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr const char* upstream_address = "127.2.2.200";
constexpr support::milliseconds ample_time{20'000};

/// Answers each request with the same bytes, or with those of its number, or
/// closes the connection if there are none.
class scripted_upstream
{
public:
    scripted_upstream(asio::io_context& io, std::string response)
        : acceptor_(io,
                    tcp::endpoint(asio::ip::make_address(upstream_address), 0)),
          response_(std::move(response))
    {
        asio::co_spawn(
            io, [this]() -> asio::awaitable<void> { co_await accept_all(); },
            asio::detached);
    }

    config::endpoint endpoint() const
    {
        return {upstream_address, acceptor_.local_endpoint().port()};
    }
    void stop() { acceptor_.close(); }
    /// Answers the first requests, in their order, with these bytes.
    void answer_first_with(std::vector<std::string> responses)
    {
        first_responses_ = std::move(responses);
    }

    /// Sends no response until release_responses is called.
    void hold_responses() { holding_ = true; }
    void release_responses() { holding_ = false; }
    /// Reads no more from a connection after it was sent a response.
    void read_one_request_each() { reads_one_request_ = true; }
    /// Resets connections instead of closing them in order.
    void reset_connections() { resets_ = true; }
    /// Sends each response a second time, in front of the next one on its
    /// connection.
    void repeat_responses_late(int waits_after_copy = 0)
    {
        repeats_late_ = true;
        waits_after_copy_ = waits_after_copy;
    }
    /// Closes the connections that are open.
    void close_all()
    {
        for (const auto& socket : sockets_)
            socket->close();
        sockets_.clear();
    }

    std::size_t accepted = 0;
    std::size_t requests = 0;
    std::size_t open = 0;
    std::size_t peak_open = 0;

private:
    asio::awaitable<void> accept_all()
    {
        for (;;) {
            auto [failure, peer] =
                co_await acceptor_.async_accept(use_nothrow_awaitable);
            if (failure)
                co_return;
            ++accepted;
            peak_open = std::max(peak_open, ++open);
            auto socket = std::make_shared<tcp::socket>(std::move(peer));
            sockets_.push_back(socket);
            asio::co_spawn(
                acceptor_.get_executor(),
                [this, socket]() -> asio::awaitable<void> {
                    co_await serve(socket);
                },
                asio::detached);
        }
    }

    static asio::awaitable<void>
    wait_briefly(std::shared_ptr<tcp::socket> socket)
    {
        asio::steady_timer poll_timer(socket->get_executor(),
                                      std::chrono::milliseconds(1));
        co_await poll_timer.async_wait(use_nothrow_awaitable);
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string buffer;
        std::string late_copy;
        for (;;) {
            const auto [failure, size] = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                use_nothrow_awaitable);
            if (failure)
                break;
            buffer.erase(0, size);
            const std::string& response = requests < first_responses_.size()
                                              ? first_responses_[requests]
                                              : response_;
            ++requests;
            while (holding_)
                co_await wait_briefly(socket);
            if (response.empty())
                break;
            co_await asio::async_write(*socket, asio::buffer(late_copy),
                                       use_nothrow_awaitable);
            if (repeats_late_)
                late_copy = response;
            for (int wait = 0; wait < waits_after_copy_; ++wait)
                co_await wait_briefly(socket);
            co_await asio::async_write(*socket, asio::buffer(response),
                                       use_nothrow_awaitable);
            while (reads_one_request_)
                co_await wait_briefly(socket);
        }
        if (resets_)
            socket->set_option(asio::socket_base::linger(true, 0));
        socket->close();
        --open;
    }

    tcp::acceptor acceptor_;
    std::string response_;
    std::vector<std::string> first_responses_;
    bool holding_ = false;
    bool reads_one_request_ = false;
    bool resets_ = false;
    bool repeats_late_ = false;
    /// Waits of a millisecond between a copy and the response behind it.
    int waits_after_copy_ = 0;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

/// One attempt with everything that it delivered.
struct observed_call
{
    link::exchange_ptr exchange;
    std::shared_ptr<upstream_call> running_call;
    std::optional<link::exchange_event> event;
    std::optional<upstream_result> result;
    std::string body;
    bool complete = false;
};

using call_ptr = std::shared_ptr<observed_call>;

struct fixture
{
    explicit fixture(std::string response)
        : upstream(io, std::move(response)),
          client(io.get_executor(), upstream.endpoint())
    {
    }
    fixture(std::string response, const http_dialect& dialect)
        : upstream(io, std::move(response)),
          client(io.get_executor(), upstream.endpoint(), "", dialect)
    {
    }

    /// Without \p content_length, the body is streamed by the test.
    call_ptr send(const std::string& method,
                  support::duration time_left = ample_time,
                  std::optional<std::uint64_t> content_length = 0,
                  std::vector<support::header_field> fields = {},
                  bool repeatable = false)
    {
        support::call_head head;
        head.repeatable = repeatable;
        head.fields = std::move(fields);
        head.method = method;
        head.target = "/";
        head.content_length = content_length;
        auto call = std::make_shared<observed_call>();
        call->exchange = std::make_shared<link::exchange>(std::move(head),
                                                          io.get_executor());
        call->exchange->deliver = [call](link::exchange_event event) {
            call->event = std::move(event);
        };
        asio::co_spawn(
            io,
            [call]() -> asio::awaitable<void> {
                while (auto part =
                           co_await call->exchange->response_body.read()) {
                    call->body += part->data;
                    call->complete = part->last;
                    if (part->last)
                        break;
                }
            },
            asio::detached);
        call->running_call = client.run(
            call->exchange, monotonic_clock::now() + time_left,
            [this] { return gate_load; },
            [call](upstream_result result, support::duration,
                   const std::optional<upstream_load>&) {
                call->result = result;
            });
        return call;
    }

    template <typename Condition>
    bool run_until(Condition met)
    {
        const auto end = monotonic_clock::now() + std::chrono::seconds(10);
        while (!met() && monotonic_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return met();
    }

    void wait_until_ended(const call_ptr& call)
    {
        REQUIRE(run_until([&] {
            return call->result && call->event &&
                   (call->complete ||
                    std::holds_alternative<link::refused>(*call->event));
        }));
    }

    asio::io_context io{1};
    scripted_upstream upstream;
    upstream_client client;
    /// Load of the gate as the client sees it.
    support::load_report gate_load;
};

const support::refusal& refusal_of(const call_ptr& call)
{
    return std::get<link::refused>(*call->event).refusal;
}

} // namespace

TEST_CASE("responses of every framing are complete and keep the connection")
{
    struct row
    {
        std::string method;
        std::string response;
        unsigned status;
        std::string body;
    };
    const auto& [method, response, status, body] = GENERATE(values<row>({
        {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 200,
         "whole"},
        {"GET",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
         200, "whole"},
        {"GET",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "Link: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
         200, "ok"},
        {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", 200, ""},
        {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200,
         ""},
        {"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
        {"GET", "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n", 304, ""},
    }));
    CAPTURE(method, response);
    fixture given(response);
    for (int number = 0; number < 3; ++number) {
        const call_ptr call = given.send(method);
        given.wait_until_ended(call);
        CHECK(std::get<link::answered>(*call->event).head.status == status);
        CHECK(call->body == body);
        CHECK(call->result == upstream_result::answered);
    }
    CHECK(given.upstream.accepted == 1);
}

// Guards against a call that is sent although its caller left while it waited
// for a connection, and against the end of one that was sent.
TEST_CASE("an attempt that waits for a connection can be ended as not run")
{
    fixture given("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    given.client.set_max_connections(1, 0);
    given.upstream.hold_responses();
    const call_ptr sent = given.send("POST");
    REQUIRE(given.run_until([&] { return given.upstream.requests == 1; }));
    const call_ptr waiting = given.send("POST");
    sent->running_call->abort_unsent();
    waiting->running_call->abort_unsent();
    given.wait_until_ended(waiting);
    given.upstream.release_responses();
    given.wait_until_ended(sent);
    CHECK(sent->result == upstream_result::answered);
    CHECK(waiting->result == upstream_result::not_sent);
    CHECK(refusal_of(waiting).kind == refusal_kind::canceled);
    CHECK(refusal_of(waiting).outcome == run_outcome::not_run);
    CHECK(given.upstream.requests == 1);
}

TEST_CASE("connections are opened before calls need them, and never more than "
          "allowed")
{
    constexpr std::size_t max_open = 4;
    fixture given("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    given.client.set_max_connections(max_open, max_open);
    REQUIRE(
        given.run_until([&] { return given.upstream.accepted == max_open; }));
    given.upstream.hold_responses();
    std::vector<call_ptr> calls;
    for (std::size_t number = 0; number < 3 * max_open; ++number)
        calls.push_back(given.send("GET"));
    REQUIRE(
        given.run_until([&] { return given.upstream.requests == max_open; }));
    given.upstream.release_responses();
    for (const call_ptr& call : calls)
        given.wait_until_ended(call);
    CHECK(given.upstream.peak_open == max_open);
    CHECK(given.upstream.accepted == max_open);
    CHECK(given.client.open_connections() == max_open);
    given.client.set_max_connections(1, 1);
    CHECK(given.run_until([&] { return given.upstream.open == 1; }));
}

TEST_CASE("connections that the upstream closed are replaced by new ones")
{
    constexpr std::size_t max_open = 3;
    fixture given("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    given.client.set_max_connections(max_open, max_open);
    REQUIRE(
        given.run_until([&] { return given.upstream.accepted == max_open; }));
    given.upstream.close_all();
    REQUIRE(given.run_until([&] { return given.upstream.open == 0; }));
    given.client.set_max_connections(max_open, max_open);
    REQUIRE(given.run_until(
        [&] { return given.upstream.accepted == 2 * max_open; }));
    CHECK(given.upstream.open == max_open);
    const call_ptr call = given.send("POST");
    given.wait_until_ended(call);
    CHECK(call->result == upstream_result::answered);
}

TEST_CASE("a call whose deadline has passed is not sent")
{
    fixture given("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    given.client.set_max_connections(1, 1);
    REQUIRE(given.run_until([&] { return given.upstream.accepted == 1; }));
    const call_ptr call = given.send("POST", support::milliseconds(-1));
    given.wait_until_ended(call);
    CHECK(call->result == upstream_result::not_sent);
    CHECK(refusal_of(call).kind == refusal_kind::deadline_exceeded);
    CHECK(refusal_of(call).outcome == run_outcome::not_run);
    CHECK(given.upstream.requests == 0);
    CHECK(given.client.open_connections() == 1);
}

TEST_CASE("a call to an unreachable upstream is refused as not run")
{
    fixture given("");
    given.upstream.stop();
    const call_ptr call = given.send("POST");
    given.wait_until_ended(call);
    CHECK(call->result == upstream_result::unreachable);
    CHECK(refusal_of(call).outcome == run_outcome::not_run);
}

TEST_CASE("the outcome is unknown if the connection closes after the request")
{
    fixture given("");
    const call_ptr call = given.send("POST");
    given.wait_until_ended(call);
    CHECK(call->result == upstream_result::failed);
    CHECK(refusal_of(call).outcome == run_outcome::unknown);
    CHECK(
        given.run_until([&] { return given.client.open_connections() == 0; }));
}

TEST_CASE("a shed call is refused as not run and the connection is reused")
{
    fixture given("HTTP/1.1 503 Busy\r\nGalenarudder-Outcome: not-run\r\n"
                  "Content-Length: 4\r\n\r\nshed");
    for (int number = 0; number < 3; ++number) {
        const call_ptr call = given.send("POST");
        given.wait_until_ended(call);
        CHECK(call->result == upstream_result::shed);
        CHECK(refusal_of(call).outcome == run_outcome::not_run);
    }
    CHECK(given.upstream.accepted == 1);
}

TEST_CASE("a request that the upstream does not read ends with its call")
{
    const std::string refused_early =
        GENERATE(as<std::string>{},
                 "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 503 Busy\r\nGalenarudder-Outcome: not-run\r\n"
                 "Content-Length: 0\r\n\r\n");
    CAPTURE(refused_early);
    fixture given(refused_early);
    given.client.set_max_connections(1, 0);
    given.upstream.hold_responses();
    given.upstream.read_one_request_each();
    const call_ptr call = given.send("POST", ample_time, std::nullopt);
    const std::string part(link::max_body_part_bytes, 'x');
    // The sockets have taken all they can once the body's pipe stays full.
    auto last_written_at = monotonic_clock::now();
    REQUIRE(given.run_until([&] {
        while (call->exchange->request_body.try_write(
            link::make_chunk(part, false)))
            last_written_at = monotonic_clock::now();
        return monotonic_clock::now() - last_written_at >
               std::chrono::milliseconds(500);
    }));
    given.upstream.release_responses();
    given.wait_until_ended(call);
    CHECK(given.client.open_connections() == 0);
    const call_ptr next = given.send("GET", support::milliseconds(2000));
    given.wait_until_ended(next);
    CHECK(next->result != upstream_result::unreachable);
}

TEST_CASE("a second, late copy of an answer reaches no other call")
{
    const auto answer_of = [](const std::string& id, const std::string& status,
                              const std::string& extra = "") {
        return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id +
               "\r\nReply-Seal: s\r\n" + extra +
               "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
    };
    const std::string first = answer_of("first", "200 OK");
    const std::string copies[] = {
        first, answer_of("first", "500 Failed"),
        answer_of("first", "503 Full", "Not-Executed: 1\r\n"),
        answer_of("earlier", "200 OK"), first + first + first};
    const std::string second = answer_of("second", "200 OK");
    struct row
    {
        const char* name;
        std::vector<std::string> responses;
    };
    for (const std::string& copy : copies) {
        const row rows[] = {
            {"the copy is there before the next call", {first + copy, second}},
            {"the copy comes in front of the next answer",
             {first, copy + second}},
            {"only the copy comes", {first, copy, second}},
        };
        for (const row& test_case : rows) {
            INFO(test_case.name << ": " << copy);
            fixture given(second, platform::dialect());
            given.upstream.answer_first_with(test_case.responses);
            const auto call_with = [&](const char* id) {
                const call_ptr call = given.send(
                    "GET", support::milliseconds(700), 0, {{"Attempt-Id", id}});
                given.wait_until_ended(call);
                return call;
            };
            CHECK(call_with("first")->body == "first");
            const call_ptr next = call_with("second");
            const bool answered =
                std::holds_alternative<link::answered>(*next->event);
            CHECK((!answered || next->body == "second"));
            // What is not of this call must not say that it did not run.
            if (!answered)
                CHECK(refusal_of(next).outcome == run_outcome::unknown);
        }
    }
}

// Guards against a late copy of a rejection that ends the next call on its
// connection as not run, although that call runs.
TEST_CASE("a late copy of a rejection says nothing of the next call")
{
    const std::string not_run = "\r\nNot-Executed: 1";
    const std::string same_id = "\r\nAttempt-Id: first";
    struct row
    {
        const char* name;
        std::string rejection;
        bool repeatable;
        const char* next_id;
        /// Connections that the two calls may use at least.
        std::size_t connections;
    };
    const row rows[] = {
        {"full, no id", "503 Full" + not_run, false, "second", 2},
        {"full, no id, repeatable", "503 Full" + not_run, true, "second", 2},
        {"limited, no id", "429 Limited" + not_run, false, "second", 2},
        {"misdirected, no id", "421 Misdirected", false, "second", 2},
        {"invalid, no id", "400 Bad" + not_run, false, "second", 2},
        {"own id, sent again", "503 Full" + not_run + same_id, false, "first",
         2},
        {"own id, repeatable", "503 Full" + not_run + same_id, true, "second",
         1},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        const std::string id = test_case.next_id;
        fixture given("HTTP/1.1 200 OK\r\nReply-Seal: s\r\nAttempt-Id: " + id +
                          "\r\nContent-Length: 4\r\n\r\ndone",
                      platform::dialect());
        given.upstream.answer_first_with({"HTTP/1.1 " + test_case.rejection +
                                          "\r\nContent-Length: 4\r\n\r\nfull"});
        given.upstream.repeat_responses_late();
        const auto call_with = [&](const std::string& attempt) {
            const call_ptr call =
                given.send("POST", support::milliseconds(700), 0,
                           {{"Attempt-Id", attempt}}, test_case.repeatable);
            given.wait_until_ended(call);
            return call;
        };
        CHECK(refusal_of(call_with("first")).outcome == run_outcome::not_run);
        const call_ptr next = call_with(id);
        CHECK(next->result == upstream_result::answered);
        CHECK(next->body == "done");
        CHECK(given.upstream.accepted == test_case.connections);
    }
}

// Guards against a load query that takes a late copy for its response, and
// leaves its own response, a rejection, to the next call.
TEST_CASE("what load queries leave behind reaches no call")
{
    fixture given("HTTP/1.1 200 OK\r\nReply-Seal: s\r\nAttempt-Id: booking"
                  "\r\nContent-Length: 4\r\n\r\ndone",
                  platform::dialect());
    given.upstream.answer_first_with(
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
    given.upstream.repeat_responses_late(30);
    for (int number = 0; number < 2; ++number) {
        bool ended = false;
        given.client.query_load("/health", ample_time,
                                [&ended](const auto&) { ended = true; });
        REQUIRE(given.run_until([&] { return ended; }));
    }
    const call_ptr booking = given.send("POST", support::milliseconds(700), 0,
                                        {{"Attempt-Id", "booking"}});
    given.wait_until_ended(booking);
    CHECK(booking->result == upstream_result::answered);
    CHECK(booking->body == "done");
    // The queries share one connection.
    CHECK(given.upstream.accepted == 2);
}

TEST_CASE("abort closes the connection of a running call")
{
    fixture given("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    given.upstream.hold_responses();
    const call_ptr call = given.send("GET");
    REQUIRE(given.run_until([&] { return given.upstream.requests == 1; }));
    call->running_call->abort();
    given.wait_until_ended(call);
    CHECK(refusal_of(call).kind == refusal_kind::canceled);
    CHECK(refusal_of(call).outcome == run_outcome::unknown);
    CHECK(given.client.open_connections() == 0);
    given.upstream.release_responses();
    CHECK(given.run_until([&] { return given.upstream.open == 0; }));
}

TEST_CASE("a call aborted before its first byte was sent did not run")
{
    fixture given("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const call_ptr call = given.send("GET");
    call->running_call->abort();
    given.wait_until_ended(call);
    CHECK(call->result == upstream_result::not_sent);
    CHECK(refusal_of(call).outcome == run_outcome::not_run);
    CHECK(given.upstream.requests == 0);
}

TEST_CASE("a reset without a response means full only while many calls run")
{
    struct row
    {
        std::uint32_t running;
        bool resets;
        refusal_kind kind;
        upstream_result result;
    };
    const auto [running, resets, kind, result] = GENERATE(
        row{6, true, refusal_kind::upstream_shed, upstream_result::shed},
        row{5, true, refusal_kind::upstream_shed, upstream_result::shed},
        row{4, true, refusal_kind::upstream_failed, upstream_result::failed},
        row{1, true, refusal_kind::upstream_failed, upstream_result::failed},
        row{6, false, refusal_kind::upstream_failed, upstream_result::failed});
    CAPTURE(running, resets);
    fixture env("");
    if (resets)
        env.upstream.reset_connections();
    env.gate_load.running = running;
    env.gate_load.limit = 6;
    const call_ptr call = env.send("POST");
    env.wait_until_ended(call);
    const auto& refused = std::get<link::refused>(*call->event);
    CHECK(refused.refusal.kind == kind);
    // The upstream may have run the call before it reset the connection.
    CHECK(refused.refusal.outcome == run_outcome::unknown);
    CHECK(call->result == result);
}

} // namespace galenarudder::proxy

// upstream_client against upstreams that send bytes without end.
#include "galenarudder/proxy/http_fields.hpp"
#include "galenarudder/proxy/upstream_client.hpp"

#include "../http/endless_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

namespace galenarudder::proxy {

namespace {

namespace asio = boost::asio;
using support::monotonic_clock;
using support::run_outcome;
using tests::endless_bytes;
using tests::fill;

/// Much longer than any test waits.
constexpr support::milliseconds ample_time{60'000};
constexpr support::milliseconds short_time{300};
constexpr auto longest_wait = std::chrono::seconds(10);
constexpr std::size_t max_growth_bytes = 32 * 1024 * 1024;
constexpr std::chrono::milliseconds trickle{10};

bool states_not_run(const support::response_head& response)
{
    return !find_field(response.fields, "Not-Executed").empty();
}

std::optional<upstream_load> read_load(const support::response_head& response)
{
    if (find_field(response.fields, "Backend-Load").empty())
        return std::nullopt;
    return upstream_load{1, 0, 2, 1};
}

http_dialect make_signed_dialect()
{
    http_dialect dialect = product_dialect();
    dialect.signature = "Reply-Seal";
    dialect.request_id = "Attempt-Id";
    dialect.states_not_run = states_not_run;
    dialect.read_load = read_load;
    return dialect;
}

/// A dialect in which upstreams sign their responses.
const http_dialect& signed_dialect()
{
    static const http_dialect dialect = make_signed_dialect();
    return dialect;
}

/// How an attempt ended, as its entry sees it.
enum class ending
{
    open,
    refused_unknown,
    refused_not_run,
    /// The response began and was cut off.
    cut_off,
    complete
};

/// One attempt with everything that it delivered.
struct observed_call
{
    ending end() const
    {
        if (!event)
            return ending::open;
        if (const auto* refused = std::get_if<link::refused>(&*event)) {
            return refused->refusal.outcome == run_outcome::unknown
                       ? ending::refused_unknown
                       : ending::refused_not_run;
        }
        if (complete)
            return ending::complete;
        return pipe_closed ? ending::cut_off : ending::open;
    }

    link::exchange_ptr exchange;
    std::shared_ptr<upstream_call> running_call;
    std::optional<link::exchange_event> event;
    std::optional<upstream_result> result;
    monotonic_clock::time_point delivered_at{};
    monotonic_clock::time_point ended_at{};
    bool complete = false;
    bool pipe_closed = false;
};

using call_ptr = std::shared_ptr<observed_call>;

asio::awaitable<void> consume_response(call_ptr call)
{
    while (const auto part = co_await call->exchange->response_body.read()) {
        call->complete = part->last;
        if (part->last)
            co_return;
    }
    call->pipe_closed = true;
}

struct fixture
{
    fixture(endless_bytes response, const http_dialect& dialect)
        : upstream(std::move(response)),
          client(io.get_executor(), upstream.endpoint(), {}, dialect)
    {
    }

    call_ptr send(const std::string& method, support::duration time_left)
    {
        support::call_head head;
        head.method = method;
        head.target = "/";
        head.content_length = 0;
        head.fields.push_back({"Attempt-Id", "1"});
        auto call = std::make_shared<observed_call>();
        call->exchange = std::make_shared<link::exchange>(std::move(head),
                                                          io.get_executor());
        call->exchange->deliver = [call](link::exchange_event event) {
            call->event = std::move(event);
            call->delivered_at = monotonic_clock::now();
        };
        asio::co_spawn(io, consume_response(call), asio::detached);
        call->running_call = client.run(
            call->exchange, monotonic_clock::now() + time_left,
            [] { return support::load_report(); },
            [call](upstream_result result, support::duration,
                   const std::optional<upstream_load>&) {
                call->result = result;
                call->ended_at = monotonic_clock::now();
            });
        return call;
    }

    /// Returns whether \p met became true before the memory grew too much.
    template <typename Condition>
    bool run_until(Condition met)
    {
        const auto end = monotonic_clock::now() + longest_wait;
        while (!met() && monotonic_clock::now() < end &&
               growth.bytes() < max_growth_bytes) {
            io.restart();
            io.run_for(std::chrono::milliseconds(5));
        }
        return met();
    }

    bool all_closed() const
    {
        return client.open_connections() == 0 &&
               upstream.open_connections() == 0;
    }

    asio::io_context io{1};
    tests::endless_server upstream;
    upstream_client client;
    tests::memory_growth growth;
};

const std::string signed_head = "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n"
                                "Reply-Seal: s\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a call to an upstream that sends without end is never ended, or "
          "takes memory without bound")
{
    struct row
    {
        std::string name;
        const http_dialect& dialect;
        endless_bytes response;
        support::milliseconds time_left;
        ending end;
    };
    const http_dialect& plain = product_dialect();
    const http_dialect& sealed = signed_dialect();
    const auto& [name, dialect, response, time_left,
                 end] = GENERATE_REF(values<row>({
        {"no protocol",
         plain,
         {"", fill("\1")},
         ample_time,
         ending::refused_unknown},
        {"status line",
         plain,
         {"HTTP/1.1 200 ", fill("a")},
         ample_time,
         ending::refused_unknown},
        {"status line, trickled",
         plain,
         {"HTTP/1.1 200 ", "a", trickle},
         short_time,
         ending::refused_unknown},
        {"field",
         plain,
         {"HTTP/1.1 200 OK\r\nName: ", fill("a")},
         ample_time,
         ending::refused_unknown},
        {"fields",
         plain,
         {"HTTP/1.1 200 OK\r\n", fill("Name: a\r\n")},
         ample_time,
         ending::refused_unknown},
        {"fields, trickled",
         plain,
         {"HTTP/1.1 200 OK\r\n", "Name: a\r\n", trickle},
         short_time,
         ending::refused_unknown},
        {"interim responses",
         plain,
         {"", fill("HTTP/1.1 103 Early Hints\r\n\r\n")},
         ample_time,
         ending::refused_unknown},
        {"interim responses, trickled",
         plain,
         {"", "HTTP/1.1 103 Early Hints\r\n\r\n", trickle},
         short_time,
         ending::refused_unknown},
        {"responses to other calls",
         sealed,
         {"", fill("HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n"
                   "Content-Length: 0\r\n\r\n")},
         ample_time,
         ending::refused_unknown},
        {"body of a response to another call",
         sealed,
         {"HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n\r\n", fill("a")},
         ample_time,
         ending::refused_unknown},
        {"body of a response to another call, trickled",
         sealed,
         {"HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n\r\n", "a", trickle},
         short_time,
         ending::refused_unknown},
        {"chunk extension of a response to another call",
         sealed,
         {"HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\n" + chunked + "5;", fill("a")},
         ample_time,
         ending::refused_unknown},
        {"body without a signature",
         sealed,
         {"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n" + chunked, fill("1\r\na\r\n")},
         ample_time,
         ending::refused_unknown},
        {"body without an id of a call",
         sealed,
         {"HTTP/1.1 200 OK\r\nReply-Seal: s\r\n" + chunked, fill("1\r\na\r\n")},
         ample_time,
         ending::refused_unknown},
        {"chunk size",
         plain,
         {"HTTP/1.1 200 OK\r\n" + chunked, fill("0")},
         ample_time,
         ending::cut_off},
        {"chunk extension",
         plain,
         {"HTTP/1.1 200 OK\r\n" + chunked + "5;", fill("a")},
         ample_time,
         ending::cut_off},
        {"trailer",
         plain,
         {"HTTP/1.1 200 OK\r\n" + chunked + "0\r\n", fill("Name: a\r\n")},
         ample_time,
         ending::cut_off},
        {"chunk extension, signed",
         sealed,
         {signed_head + chunked + "5;", fill("a")},
         ample_time,
         ending::refused_unknown},
        {"trailer, signed",
         sealed,
         {signed_head + chunked + "0\r\n", fill("Name: a\r\n")},
         ample_time,
         ending::refused_unknown},
        {"trailer, signed and trickled",
         sealed,
         {signed_head + chunked + "0\r\n", "Name: a\r\n", trickle},
         short_time,
         ending::refused_unknown},
        {"chunks, signed",
         sealed,
         {signed_head + chunked, fill("1\r\na\r\n")},
         short_time,
         ending::cut_off},
        {"chunks, signed and trickled",
         sealed,
         {signed_head + chunked, "1\r\na\r\n", trickle},
         short_time,
         ending::refused_unknown},
        {"large chunks, signed and trickled",
         sealed,
         {signed_head + chunked, "4000\r\n" + std::string(0x4000, 'a') + "\r\n",
          trickle},
         short_time,
         ending::cut_off},
        {"chunks with long extensions, signed",
         sealed,
         {signed_head + chunked, "1;" + std::string(60'000, 'a') + "\r\na\r\n"},
         short_time,
         ending::refused_unknown},
        {"body without a length, signed",
         sealed,
         {signed_head + "\r\n", fill("a")},
         short_time,
         ending::cut_off},
        {"body without a length, signed and trickled",
         sealed,
         {signed_head + "\r\n", "a", trickle},
         short_time,
         ending::refused_unknown},
        {"body of a refusal",
         sealed,
         {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + chunked,
          fill("1\r\na\r\n")},
         ample_time,
         ending::refused_not_run},
        {"body of a refusal, trickled",
         sealed,
         {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + chunked, "1\r\na\r\n",
          trickle},
         ample_time,
         ending::refused_not_run},
        {"body of a refusal, chunk extension",
         sealed,
         {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + chunked + "5;",
          fill("a")},
         ample_time,
         ending::refused_not_run},
        {"bytes after a complete response",
         plain,
         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", fill("a")},
         ample_time,
         ending::complete},
        {"bytes after a complete signed response",
         sealed,
         {signed_head + "Content-Length: 2\r\n\r\nok", fill("a")},
         ample_time,
         ending::complete},
    }));
    CAPTURE(name);
    fixture given(response, dialect);
    const call_ptr call = given.send("GET", time_left);
    CHECK(given.run_until([&] { return call->end() != ending::open; }));
    CHECK(call->end() == end);
    CHECK(given.run_until([&] { return call->result.has_value(); }));
    // A connection that is kept after a complete response is dropped as soon as
    // it is found to hold more bytes.
    CHECK(given.run_until([&] {
        given.client.set_max_connections(1, 0);
        return given.all_closed();
    }));
    CHECK(given.growth.bytes() < max_growth_bytes);
}

TEST_CASE("a refusal is held back until its body was read")
{
    fixture given({"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + chunked,
                   "1\r\na\r\n", trickle},
                  signed_dialect());
    const call_ptr call = given.send("GET", short_time);
    REQUIRE(given.run_until([&] { return call->event && call->result; }));
    CHECK(call->end() == ending::refused_not_run);
    CHECK(call->result == upstream_result::shed);
    // The body has no end, so the call ends when a time limit passes.
    CHECK(call->ended_at - call->delivered_at > short_time / 3);
}

TEST_CASE("an aborted call goes on reading bytes that arrive without end")
{
    struct row
    {
        std::string name;
        endless_bytes response;
    };
    const auto& [name, response] = GENERATE(values<row>({
        {"trickled status line", {"HTTP/1.1 200 ", "a", trickle}},
        {"chunks", {signed_head + chunked, fill("1\r\na\r\n")}},
        {"chunks with long extensions",
         {signed_head + chunked,
          "1;" + std::string(60'000, 'a') + "\r\na\r\n"}},
        {"trickled body of a refusal",
         {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + chunked, "1\r\na\r\n",
          trickle}},
    }));
    CAPTURE(name);
    fixture given(response, signed_dialect());
    const call_ptr call = given.send("GET", ample_time);
    REQUIRE(given.run_until(
        [&] { return given.upstream.open_connections() == 1; }));
    const auto abort_at = monotonic_clock::now() + short_time;
    given.run_until([&] { return monotonic_clock::now() >= abort_at; });
    call->running_call->abort();
    CHECK(given.run_until([&] { return call->result.has_value(); }));
    CHECK(given.run_until([&] { return given.all_closed(); }));
}

TEST_CASE("a stream without a length is cut off at the deadline")
{
    fixture given({"HTTP/1.1 200 OK\r\n" + chunked, "1\r\na\r\n", trickle},
                  product_dialect());
    const call_ptr call = given.send("GET", short_time);
    const auto later = monotonic_clock::now() + 4 * short_time;
    given.run_until([&] { return monotonic_clock::now() >= later; });
    CHECK(call->end() == ending::open);
    CHECK(call->event);
    call->exchange->response_body.abort();
    CHECK(given.run_until([&] { return given.all_closed(); }));
}

TEST_CASE("a load query is never ended by a response without end")
{
    const std::string head = "HTTP/1.1 200 OK\r\nBackend-Load: 1,0,2\r\n";
    struct row
    {
        std::string name;
        endless_bytes response;
        support::milliseconds timeout;
    };
    const auto& [name, response, timeout] = GENERATE_REF(values<row>({
        {"field", {"HTTP/1.1 200 OK\r\nName: ", fill("a")}, ample_time},
        {"body without a length", {head + "\r\n", fill("a")}, ample_time},
        {"body without a length, trickled",
         {head + "\r\n", "a", trickle},
         short_time},
        {"chunks", {head + chunked, fill("1\r\na\r\n")}, ample_time},
        {"chunk extension", {head + chunked + "5;", fill("a")}, ample_time},
        {"trailer",
         {head + chunked + "0\r\n", fill("Name: a\r\n")},
         ample_time},
        {"chunks with long extensions",
         {head + chunked, "1;" + std::string(60'000, 'a') + "\r\na\r\n"},
         short_time},
    }));
    CAPTURE(name);
    fixture given(response, signed_dialect());
    bool ended = false;
    std::optional<upstream_load> stated;
    given.client.query_load("/health", timeout,
                            [&](const std::optional<upstream_load>& load) {
                                ended = true;
                                stated = load;
                            });
    CHECK(given.run_until([&] { return ended; }));
    CHECK_FALSE(stated);
    CHECK(given.run_until([&] { return given.all_closed(); }));
    CHECK(given.growth.bytes() < max_growth_bytes);
}

} // namespace galenarudder::proxy

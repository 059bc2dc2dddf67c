// The client stops connecting to an unreachable peer long before the time limit
// of the request ends, so that its caller can retry. Without a limit of its
// own, connecting would use up the whole time during a network partition.
#include "galenarudder/http/client.hpp"

#include "endless_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <optional>
#include <vector>

namespace galenarudder::http {

namespace asio = boost::asio;
using support::monotonic_clock;
using tests::endless_bytes;
using tests::fill;

namespace {

/// A socket that listens but never accepts. Once its queue is full, the kernel
/// drops SYN packets, as during a network partition.
class unreachable_peer
{
public:
    unreachable_peer()
    {
        sockets_.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const address = reinterpret_cast<sockaddr*>(&address_);
        socklen_t size = sizeof(address_);
        REQUIRE(::bind(sockets_.front(), address, size) == 0);
        REQUIRE(::listen(sockets_.front(), 0) == 0);
        REQUIRE(::getsockname(sockets_.front(), address, &size) == 0);
        constexpr int connections_to_fill_queue = 4;
        for (int i = 0; i < connections_to_fill_queue; ++i) {
            sockets_.push_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            ::connect(sockets_.back(), address, size);
        }
    }
    ~unreachable_peer()
    {
        for (const int socket : sockets_)
            ::close(socket);
    }
    unreachable_peer(const unreachable_peer&) = delete;
    unreachable_peer& operator=(const unreachable_peer&) = delete;

    config::endpoint endpoint() const
    {
        return {"127.0.0.1", ntohs(address_.sin_port)};
    }

private:
    sockaddr_in address_ = {};
    std::vector<int> sockets_;
};

client_request get_request()
{
    return {"GET", "/", "", {}};
}

} // namespace

TEST_CASE("connecting has a shorter time limit than the request")
{
    const unreachable_peer peer;
    const auto start = support::monotonic_clock::now();
    const auto answer = fetch_blocking(peer.endpoint(), {"GET", "/", "", {}},
                                       std::chrono::seconds(30));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == support::error_kind::connection_failed);
    CHECK(support::monotonic_clock::now() - start < std::chrono::seconds(15));
}

TEST_CASE("a response without end takes memory without bound, or goes on after "
          "the time limit")
{
    constexpr support::milliseconds ample_time{60'000};
    constexpr support::milliseconds short_time{300};
    constexpr std::chrono::milliseconds trickle{10};
    constexpr auto longest_wait = std::chrono::seconds(10);
    constexpr std::size_t max_growth_bytes = 64 * 1024 * 1024;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct row
    {
        std::string name;
        endless_bytes response;
        support::milliseconds timeout;
    };
    const auto& [name, response, timeout] = GENERATE_REF(values<row>({
        {"no protocol", {"", fill("\1")}, ample_time},
        {"status line", {"HTTP/1.1 200 ", fill("a")}, ample_time},
        {"fields", {head, fill("Name: a\r\n")}, ample_time},
        {"fields, trickled", {head, "Name: a\r\n", trickle}, short_time},
        {"body without a length", {head + "\r\n", fill("a")}, ample_time},
        {"body without a length, trickled",
         {head + "\r\n", "a", trickle},
         short_time},
        {"body with a length, trickled",
         {head + "Content-Length: 1000000\r\n\r\n", "a", trickle},
         short_time},
        {"chunks", {chunked, fill("1\r\na\r\n")}, ample_time},
        {"chunk size", {chunked, fill("0")}, ample_time},
        {"chunk extension", {chunked + "5;", fill("a")}, ample_time},
        {"trailer", {chunked + "0\r\n", fill("Name: a\r\n")}, ample_time},
        {"chunks with long extensions",
         {chunked, "1;" + std::string(60'000, 'a') + "\r\na\r\n"},
         short_time},
    }));
    CAPTURE(name);
    tests::endless_server server(response);
    const tests::memory_growth growth;
    asio::io_context io{1};
    std::optional<bool> answered;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            const auto result =
                co_await fetch(server.endpoint(), get_request(), timeout);
            answered = result.has_value();
        },
        asio::detached);
    const auto end = monotonic_clock::now() + longest_wait;
    while ((!answered || server.open_connections() != 0) &&
           monotonic_clock::now() < end && growth.bytes() < max_growth_bytes) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    CHECK(answered == false);
    CHECK(server.open_connections() == 0);
    CHECK(growth.bytes() < max_growth_bytes);
}

} // namespace galenarudder::http

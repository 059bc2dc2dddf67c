// http::server with clients that send requests without end or do not take
// their responses.
#include "galenarudder/http/server.hpp"

#include "endless_server.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <atomic>
#include <string>
#include <thread>

namespace galenarudder::http {

namespace asio = boost::asio;
using support::monotonic_clock;
using tests::endless_bytes;
using tests::fill;

namespace {

const config::endpoint server_endpoint{"127.2.2.202", 18'391};
constexpr support::milliseconds ample_time{60'000};
constexpr support::milliseconds short_time{300};
constexpr std::chrono::milliseconds trickle{10};
constexpr auto longest_wait = std::chrono::seconds(10);
constexpr std::size_t max_growth_bytes = 32 * 1024 * 1024;

/// A connection whose client blocks, for at most the longest wait at a time.
class client_socket
{
public:
    client_socket() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        timeval wait{};
        wait.tv_sec = longest_wait.count();
        ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = inet_addr(server_endpoint.address.c_str());
        address.sin_port = htons(server_endpoint.port);
        REQUIRE(::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0);
    }
    ~client_socket() { ::close(socket_); }
    client_socket(const client_socket&) = delete;
    client_socket& operator=(const client_socket&) = delete;

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent =
                ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    void close_both_directions() const { ::shutdown(socket_, SHUT_RDWR); }

private:
    int socket_;
};

} // namespace

TEST_CASE("a request without end takes memory without bound, or goes on after "
          "the time limit")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct row
    {
        std::string name;
        endless_bytes request;
        support::milliseconds timeout;
    };
    const auto& [name, request, timeout] = GENERATE_REF(values<row>({
        {"no protocol", {"", fill("\1")}, ample_time},
        {"target", {"GET /", fill("a")}, ample_time},
        {"fields", {head, fill("Name: a\r\n")}, ample_time},
        {"fields, trickled", {head, "Name: a\r\n", trickle}, short_time},
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
    asio::io_context io{1};
    bool handled = false;
    server tested(
        io,
        [&](const http::request&) -> asio::awaitable<response> {
            handled = true;
            co_return response();
        },
        default_max_body_bytes, server_timeouts{timeout, ample_time});
    REQUIRE(tested.listen(server_endpoint));
    const tests::memory_growth growth;
    const client_socket client;
    std::atomic<bool> closed = false;
    std::atomic<bool> stopping = false;
    std::thread sender([&] {
        std::string_view part = request.start;
        while (!stopping && client.send(part)) {
            std::this_thread::sleep_for(request.pause);
            part = request.repeated;
        }
        closed = true;
    });
    const auto end = monotonic_clock::now() + longest_wait;
    while (!closed && monotonic_clock::now() < end &&
           growth.bytes() < max_growth_bytes) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    CHECK(closed);
    CHECK_FALSE(handled);
    CHECK(growth.bytes() < max_growth_bytes);
    stopping = true;
    client.close_both_directions();
    sender.join();
}

TEST_CASE("a response waits without end for a client that does not read it")
{
    constexpr std::size_t more_than_sockets_hold = 32 * 1024 * 1024;
    asio::io_context io{1};
    bool handled = false;
    server tested(
        io,
        [&](const http::request&) -> asio::awaitable<response> {
            handled = true;
            response large;
            large.body.resize(more_than_sockets_hold, 'a');
            co_return large;
        },
        default_max_body_bytes, server_timeouts{ample_time, short_time});
    REQUIRE(tested.listen(server_endpoint));
    const client_socket client;
    REQUIRE(client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    const auto end = monotonic_clock::now() + longest_wait;
    while (!handled && monotonic_clock::now() < end) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(handled);
    // The connection is then the only work that is left.
    tested.stop();
    bool ended = false;
    while (!ended && monotonic_clock::now() < end) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
        ended = io.stopped();
    }
    CHECK(ended);
}

} // namespace galenarudder::http

// The client stops connecting to an unreachable peer long before the time limit
// of the request ends, so that its caller can retry. Without a limit of its
// own, connecting would use up the whole time during a network partition.
#include "galenarudder/http/client.hpp"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <vector>

namespace galenarudder::http {

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

} // namespace galenarudder::http

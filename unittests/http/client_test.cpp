// A peer that cannot be connected to is given up long before the answer's
// time, so that the caller may try again.
#include "galenarudder/http/client.hpp"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <vector>

namespace galenarudder::http {

namespace {

/// Listens and accepts nothing: once its queue is full, opening packets are
/// dropped as behind a partition.
class unreachable_peer
{
public:
    unreachable_peer()
    {
        sockets_.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const any = reinterpret_cast<sockaddr*>(&address_);
        socklen_t size = sizeof(address_);
        REQUIRE(::bind(sockets_.front(), any, size) == 0);
        REQUIRE(::listen(sockets_.front(), 0) == 0);
        REQUIRE(::getsockname(sockets_.front(), any, &size) == 0);
        constexpr int more_than_the_queue = 4;
        for (int count = 0; count < more_than_the_queue; ++count) {
            sockets_.push_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            ::connect(sockets_.back(), any, size);
        }
    }
    ~unreachable_peer()
    {
        for (const int open : sockets_)
            ::close(open);
    }
    unreachable_peer(const unreachable_peer&) = delete;
    unreachable_peer& operator=(const unreachable_peer&) = delete;

    config::endpoint where() const
    {
        return {"127.0.0.1", ntohs(address_.sin_port)};
    }

private:
    sockaddr_in address_ = {};
    std::vector<int> sockets_;
};

} // namespace

TEST_CASE("connecting does not take the whole time that an answer may take")
{
    const unreachable_peer peer;
    const auto begun = support::monotonic_clock::now();
    const auto answer = fetch_blocking(peer.where(), {"GET", "/", "", {}},
                                       std::chrono::seconds(30));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == support::error_kind::connection_failed);
    CHECK(support::monotonic_clock::now() - begun < std::chrono::seconds(15));
}

} // namespace galenarudder::http

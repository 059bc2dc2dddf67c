// Keep-alive probes cover idle connections; TCP_USER_TIMEOUT covers data that
// the peer does not acknowledge.
#include "galenarudder/support/socket_keepalive.hpp"

#include <boost/asio/detail/socket_option.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace galenarudder::support {

namespace {

template <int Name>
using tcp_option =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Idle time before the first probe, and the interval between probes.
constexpr int probe_interval_s = 1;
/// Unanswered probes after which the kernel closes the connection.
constexpr int max_unanswered_probes = 3;
/// Longest time that sent data may remain unacknowledged.
constexpr int user_timeout_ms = 3000;

} // namespace

void enable_keepalive(boost::asio::ip::tcp::socket& socket)
{
    // Errors are ignored: without these options the callers' timeouts detect an
    // unresponsive peer, only later.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(probe_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(probe_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>(max_unanswered_probes), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(user_timeout_ms), ignored);
}

} // namespace galenarudder::support

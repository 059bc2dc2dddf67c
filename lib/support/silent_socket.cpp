// Keep-alive probes for idle connections, a user timeout for unsent data.
#include "galenarudder/support/silent_socket.hpp"

#include <boost/asio/detail/socket_option.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace galenarudder::support {

namespace {

template <int Name>
using tcp_option =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Time without a word before the first probe, and between probes.
constexpr int probe_interval_s = 1;
constexpr int unanswered_probes = 3;
constexpr int user_timeout_ms = 3000;

} // namespace

void end_silent(boost::asio::ip::tcp::socket& socket)
{
    // Without these options a silent peer is found by the callers' timeouts.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(probe_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(probe_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>(unanswered_probes), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(user_timeout_ms), ignored);
}

} // namespace galenarudder::support

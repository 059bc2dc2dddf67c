/// \file
/// TCP keep-alive settings that detect a peer that disappeared without closing
/// the connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace galenarudder::support {

/// Makes the kernel probe an idle peer every second and close the connection
/// if the peer has acknowledged nothing for 3 s.
void enable_keepalive(boost::asio::ip::tcp::socket& socket);

} // namespace galenarudder::support

/// \file
/// Ends connections whose peer has fallen silent without closing them.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace galenarudder::support {

/// Lets the kernel probe an idle peer each second and give up a connection
/// whose peer has confirmed nothing for 3 s.
void end_silent(boost::asio::ip::tcp::socket& socket);

} // namespace galenarudder::support

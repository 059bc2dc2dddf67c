// The product's own interface.
#include "galenarudder/daemon/integration.hpp"

#include "galenarudder/daemon/announcement_port.hpp"
#include "galenarudder/store/consul_store.hpp"

namespace galenarudder::daemon {

integration product_integration()
{
    integration own;
    own.dialect = &proxy::product_dialect();
    own.open_store = [](boost::asio::any_io_executor executor,
                        const config::daemon_settings& settings) {
        return std::make_unique<store::consul_store>(std::move(executor),
                                                     settings.store);
    };
    own.open_upstream_port =
        [](boost::asio::io_context& io, const config::daemon_settings&,
           announcement_handlers handlers) -> std::unique_ptr<upstream_port> {
        return std::make_unique<announcement_port>(io, std::move(handlers));
    };
    own.readiness_path = "/v1/ready";
    return own;
}

} // namespace galenarudder::daemon

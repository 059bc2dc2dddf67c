// The integration with the product's own protocols.
#include "galenarudder/daemon/integration.hpp"

#include "galenarudder/daemon/announcement_port.hpp"
#include "galenarudder/store/consul_store.hpp"

namespace galenarudder::daemon {

integration product_integration()
{
    integration product;
    product.dialect = &proxy::product_dialect();
    product.open_store = [](boost::asio::any_io_executor executor,
                            boost::asio::any_io_executor background,
                            const config::daemon_settings& settings) {
        return std::make_unique<store::consul_store>(
            std::move(executor), std::move(background), settings.store);
    };
    product.open_announcement_listener = [](boost::asio::io_context& io,
                                            const config::daemon_settings&,
                                            announcement_handlers handlers)
        -> std::unique_ptr<announcement_listener> {
        return std::make_unique<announcement_port>(io, std::move(handlers));
    };
    product.readiness_path = "/v1/ready";
    return product;
}

} // namespace galenarudder::daemon

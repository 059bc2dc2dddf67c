// State changes are logged by easylogging++; everything else is counted.
#include "galenarudder/telemetry/log.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace galenarudder::telemetry {

void configure_log()
{
    el::Configurations format;
    format.setToDefault();
    format.setGlobally(el::ConfigurationType::ToFile, "false");
    format.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(format);
}

void log_change(std::string_view what)
{
    LOG(INFO) << std::string(what);
}

void log_error(const support::error& failure)
{
    LOG(ERROR) << support::describe(failure);
}

} // namespace galenarudder::telemetry

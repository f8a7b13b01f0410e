#pragma once

#include "redwinggw/control/configuration_service.hpp"
#include "redwinggw/control/operator_server.hpp"

/// HTTP routes for operators that concern the configuration:
/// /operators/sheet/{check,diff,submit,show,history}, /operators/customers and
/// /operators/key/{give,withdraw}. docs/OPERATIONS.md specifies their bodies.
namespace redwinggw::control {

/// Also adds the status "configuration". Both arguments must outlive the run of
/// the server.
void addConfigurationRoutes(operator_server &Server,
                            configuration_service &Service);

/// Adds /operators/instances: the platform's instance list with the addresses
/// of the operator servers, so that redwinggwctl finds all instances. \p Store
/// must outlive the run of the server.
void addInstancesRoute(operator_server &Server, storage::store &Store);

} // namespace redwinggw::control

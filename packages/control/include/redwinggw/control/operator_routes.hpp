#pragma once

#include "redwinggw/control/configuration_service.hpp"
#include "redwinggw/control/operator_server.hpp"

/// The operators' pages about the configuration:
/// /operators/sheet/{check,diff,submit,show,history}, /operators/customers and
/// /operators/key/{give,withdraw}. docs/OPERATIONS.md states their bodies.
namespace redwinggw::control {

/// Both must outlive the run of the server. Adds the status "configuration"
/// too.
void addConfigurationRoutes(operator_server &Server,
                            configuration_service &Service);

/// Adds /operators/instances: the platform's list with the operators'
/// addresses, so that redwinggwctl finds all instances. \p Store must outlive
/// the run of the server.
void addInstancesRoute(operator_server &Server, storage::store &Store);

} // namespace redwinggw::control

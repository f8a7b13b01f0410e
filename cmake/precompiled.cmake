# One precompiled header for all targets. It holds only as long as all are
# compiled with the same options and the same definitions of Boost, which
# redwinggw_options therefore carries for all of them.
file(WRITE ${CMAKE_BINARY_DIR}/precompiled.cpp "")
add_library(redwinggw_precompiled OBJECT ${CMAKE_BINARY_DIR}/precompiled.cpp)
target_link_libraries(redwinggw_precompiled PRIVATE redwinggw_options)
target_precompile_headers(redwinggw_precompiled PRIVATE ${CMAKE_SOURCE_DIR}/cmake/precompiled.hpp)

# Lets every target below Directory use the header.
function(redwinggw_use_precompiled Directory)
  get_property(Targets DIRECTORY ${Directory} PROPERTY BUILDSYSTEM_TARGETS)
  foreach(Target ${Targets})
    get_target_property(Type ${Target} TYPE)
    if(Type MATCHES "STATIC_LIBRARY|EXECUTABLE")
      target_link_libraries(${Target} PRIVATE redwinggw_options)
      target_precompile_headers(${Target} REUSE_FROM redwinggw_precompiled)
    endif()
  endforeach()
  get_property(Below DIRECTORY ${Directory} PROPERTY SUBDIRECTORIES)
  foreach(Subdirectory ${Below})
    redwinggw_use_precompiled(${Subdirectory})
  endforeach()
endfunction()

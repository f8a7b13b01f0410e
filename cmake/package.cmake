# One static library a package. Dependencies are declared here and nowhere else;
# a package sees only the headers of what it names, so a cycle does not build.
function(redwinggw_package Name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp
       ${CMAKE_CURRENT_SOURCE_DIR}/src/*/*.cpp)
  add_library(redwinggw_${Name} STATIC ${Sources})
  target_include_directories(
    redwinggw_${Name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  list(TRANSFORM ARG_DEPENDS PREPEND redwinggw_)
  target_link_libraries(redwinggw_${Name} PUBLIC redwinggw_options ${ARG_DEPENDS}
                                                 ${ARG_LIBRARIES})
endfunction()

# One Criterion program a test file, named after it. The timeout ends a test
# that hangs; it is far above what the slowest takes under a sanitizer on a
# machine with four times as much to do, so that load decides no verdict.
function(redwinggw_tests)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  foreach(Source ${Sources})
    get_filename_component(Test ${Source} NAME_WE)
    add_executable(${Test} ${Source})
    target_link_libraries(${Test} PRIVATE ${ARG_LIBRARIES} redwinggw_test_support)
    add_dependencies(unit_tests ${Test})
    add_test(NAME ${Test} COMMAND ${Test} --jobs 1)
    set_tests_properties(${Test} PROPERTIES LABELS unit TIMEOUT 1200)
  endforeach()
endfunction()

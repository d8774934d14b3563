# Adds one package of the workspace as a static library.
#
# dogwooddrum_package(NAME [DEPENDS target...])
# compiles every .cpp file of the calling folder into dogwooddrum_NAME.
function(dogwooddrum_package aName)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(dogwooddrum_${aName} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(dogwooddrum_${aName} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(dogwooddrum_${aName} ${scope}
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(dogwooddrum_${aName} ${scope} ${ARG_DEPENDS})
  add_library(dogwooddrum::${aName} ALIAS dogwooddrum_${aName})
endfunction()

# Installs packages with their headers for find_package(dogwooddrum).
#
# dogwooddrum_install_packages(NAME...)
# Headers with Templates in their name need cereal and are left out.
function(dogwooddrum_install_packages)
  foreach(name ${ARGN})
    set(target dogwooddrum_${name})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
    install(TARGETS ${target} EXPORT dogwooddrumTargets
      ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    get_target_property(folder ${target} SOURCE_DIR)
    file(RELATIVE_PATH path ${PROJECT_SOURCE_DIR} ${folder})
    install(DIRECTORY ${folder}/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/${path}
      FILES_MATCHING PATTERN "*.h" PATTERN "*Templates.h" EXCLUDE)
  endforeach()
  install(EXPORT dogwooddrumTargets NAMESPACE dogwooddrum::
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dogwooddrum)
  include(CMakePackageConfigHelpers)
  configure_package_config_file(
    ${PROJECT_SOURCE_DIR}/cmake/dogwooddrumConfig.cmake.in
    ${PROJECT_BINARY_DIR}/dogwooddrumConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dogwooddrum)
  write_basic_package_version_file(
    ${PROJECT_BINARY_DIR}/dogwooddrumConfigVersion.cmake
    COMPATIBILITY SameMinorVersion)
  install(FILES ${PROJECT_BINARY_DIR}/dogwooddrumConfig.cmake
    ${PROJECT_BINARY_DIR}/dogwooddrumConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dogwooddrum)
endfunction()

# Adds one test program per .cpp file of the calling folder.
#
# dogwooddrum_tests(LABEL label DEPENDS target... [SERIAL program...])
# ctest runs the tests of SERIAL programs apart from all others.
function(dogwooddrum_tests)
  cmake_parse_arguments(ARG "" "LABEL" "DEPENDS;SERIAL" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gtest GTest::gtest_main)
    set(serial FALSE)
    if(name IN_LIST ARG_SERIAL)
      set(serial TRUE)
    endif()
    gtest_discover_tests(${name} PROPERTIES LABELS "${ARG_LABEL}" TIMEOUT 300
      RUN_SERIAL ${serial} DISCOVERY_TIMEOUT 60)
  endforeach()
endfunction()

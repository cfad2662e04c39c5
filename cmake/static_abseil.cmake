# Abseil's package links its targets to some forty shared libraries. Without them the dynamic linker needs 8.1 million
# instructions at a program's start where it needed 12.9 (docs/MEASUREMENTS.md, "Start of a balancer"), so Abseil's
# static libraries are linked.
get_property(imported_targets DIRECTORY PROPERTY IMPORTED_TARGETS)
foreach(target IN LISTS imported_targets)
  if(NOT target MATCHES "^absl::")
    continue()
  endif()
  foreach(property IMPORTED_LOCATION IMPORTED_LOCATION_NONE IMPORTED_LOCATION_RELEASE)
    get_target_property(shared_library ${target} ${property})
    if(NOT shared_library)
      continue()
    endif()
    string(REGEX REPLACE "\\.so[.0-9]*$" ".a" static_library "${shared_library}")
    if(EXISTS "${static_library}")
      set_target_properties(${target} PROPERTIES ${property} "${static_library}")
    endif()
  endforeach()
endforeach()
